package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/key"
	"tamarackshunt.dev/host/member"
)

// otherKey is a second key of the team of testKey.
const otherKey = "k2." + testSecret

// keyChanges change testKey so that it no longer allows what its former team does.
var keyChanges = map[string]func(f *fixture){
	"withdrawn": func(f *fixture) { f.deps.View().Keys.Update(&fleetpb.State{Withdrawn: []string{"k1"}}) },
	"given to another team": func(f *fixture) {
		f.deps.View().Keys.Update(&fleetpb.State{Keys: []*fleetpb.KeyEntry{{Id: "k1", Team: "others", Hash: f.keys[0].GetHash()}}})
	},
}

// newRevokedFixture returns a fixture that also knows otherKey.
func newRevokedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	written, err := key.Parse(otherKey)
	require.NoError(t, err)
	hash := written.Hash()
	f.deps.View().Keys.Update(&fleetpb.State{Keys: []*fleetpb.KeyEntry{{Id: "k2", Team: "members", Hash: hash[:]}}})
	return f
}

// Guards invariant 6: an idle transaction is rolled back as soon as its key is withdrawn, and its caller hears that the key was revoked;
// transactions of other keys and on open routes go on and commit.
func TestIdleTransactionOfRevokedKey(t *testing.T) {
	for name, change := range keyChanges {
		t.Run(name, func(t *testing.T) {
			f := newRevokedFixture(t)
			f.deps.updateView(func(v *member.View) { v.Allotments = map[member.Target]int{{Service: testService, Upstream: "u1"}: 3} })
			begin := func(database, key, sql string, mode pgx.TxAccessMode) (*pgx.Conn, pgx.Tx) {
				conn := f.connect(t, database, key, "&default_query_exec_mode=simple_protocol")
				tx, err := conn.BeginTx(t.Context(), pgx.TxOptions{AccessMode: mode})
				require.NoError(t, err)
				_, err = tx.Exec(t.Context(), sql)
				require.NoError(t, err)
				return conn, tx
			}
			revoked, _ := begin(testService, testKey, "insert revoked", pgx.ReadWrite)
			_, held := begin(testService, otherKey, "insert held", pgx.ReadWrite)
			_, open := begin("stock", "none", "select open", pgx.ReadOnly)
			change(f)
			require.Eventually(t, func() bool { return f.upstream.count("run ROLLBACK") == 1 }, 20*time.Second, time.Millisecond)
			_, err := revoked.Exec(t.Context(), "insert after")
			requireCode(t, err, "28000")
			require.Zero(t, f.upstream.count("run insert after"))
			for _, tx := range []pgx.Tx{held, open} {
				_, err := tx.Exec(t.Context(), "select more")
				require.NoError(t, err)
				require.NoError(t, tx.Commit(t.Context()))
			}
			require.Equal(t, 1, f.upstream.count("run ROLLBACK"))
		})
	}
}

// Guards invariant 6 against statements that were admitted, then waited or were tried again, and are sent after their key was withdrawn.
func TestKeyRevokedBeforeSending(t *testing.T) {
	for name, change := range keyChanges {
		for _, sql := range []string{"select late", "insert late"} {
			for _, mode := range []string{"simple_protocol", "cache_statement"} {
				t.Run(name+"/"+sql+"/"+mode, func(t *testing.T) {
					f := newRevokedFixture(t)
					conn := f.connect(t, testService, testKey, "&default_query_exec_mode="+mode)
					f.deps.setChoosing(func(context.Context) { change(f) })
					_, err := conn.Exec(t.Context(), sql)
					requireCode(t, err, "28000")
					require.Zero(t, f.upstream.count("late"))
				})
			}
		}
	}
}

// Guards invariant 6 against statements that wait until their deadline, for a token, an upstream or a connection, although their key was
// withdrawn.
func TestWaitOfRevokedKey(t *testing.T) {
	for name, change := range keyChanges {
		for _, sql := range []string{"select late", "insert late", "begin"} {
			for obstacle, prepare := range map[string]func(f *fixture) <-chan struct{}{
				"token": func(f *fixture) <-chan struct{} {
					waits := make(chan struct{}, 1)
					f.deps.setTaking(func(ctx context.Context) {
						waits <- struct{}{}
						<-ctx.Done()
					})
					return waits
				},
				"upstream": func(f *fixture) <-chan struct{} {
					waits := make(chan struct{}, 1)
					f.deps.setChoosing(func(ctx context.Context) {
						waits <- struct{}{}
						<-ctx.Done()
					})
					return waits
				},
				"connection": func(f *fixture) <-chan struct{} {
					waits := make(chan struct{}, 1)
					for range 2 {
						tx, err := f.connect(t, testService, otherKey, "").Begin(t.Context())
						require.NoError(t, err)
						_, err = tx.Exec(t.Context(), "insert held")
						require.NoError(t, err)
					}
					f.deps.setChoosing(func(context.Context) { waits <- struct{}{} })
					return waits
				},
			} {
				t.Run(name+"/"+sql+"/"+obstacle, func(t *testing.T) {
					f := newRevokedFixture(t)
					f.deps.setDeadline(time.Hour)
					conn := f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
					statement := sql
					if sql == "begin" {
						_, err := conn.Exec(t.Context(), sql)
						require.NoError(t, err)
						statement = "insert late"
					}
					waits := prepare(f)
					answered := make(chan error, 1)
					go func() {
						_, err := conn.Exec(context.Background(), statement)
						answered <- err
					}()
					<-waits
					change(f)
					select {
					case err := <-answered:
						requireCode(t, err, "28000")
					case <-time.After(20 * time.Second):
						t.Fatal("the statement still waits")
					}
					require.Zero(t, f.upstream.count("late"))
				})
			}
		}
	}
}
