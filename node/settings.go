package main

import (
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/platform/api"
	"tamarackshunt.dev/platform/machine"
)

const (
	// rereadEvery is the least interval at which the file is looked at for a change that no signal announced.
	rereadEvery = time.Second
)

// Ports for calls between hosts, counted from the first port of the settings.
const (
	portCore = iota
	portEntry
)

// Ports of the metrics, as deploy/system.toml names them.
const (
	portEntryMetrics = 9464
	portCoreMetrics  = 9465
)

// settingsFile holds the settings as last read.
type settingsFile struct {
	path string
	mu   sync.Mutex
	read machine.Settings
	// changed is the time of the file's last change, looked when it was last looked at.
	changed time.Time
	looked  time.Time
}

func openSettings(path string) (*settingsFile, error) {
	read, err := machine.Read(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &settingsFile{path: path, read: read, looked: time.Now()}
	if info, err := os.Stat(path); err == nil {
		f.changed = info.ModTime()
	}
	return f, nil
}

func (f *settingsFile) current() machine.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read
}

// reload reads the file again; a file with a mistake changes nothing.
func (f *settingsFile) reload() {
	read, err := machine.Read(f.path)
	if err != nil {
		klog.ErrorS(err, "Settings not read again")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read = read
	klog.InfoS("Settings read again", "seeds", read.Seeds)
}

// seeds returns the peer addresses of the core hosts that the settings name, looking for a change of the file.
func (f *settingsFile) seeds() []string {
	f.mu.Lock()
	due := time.Since(f.looked) > rereadEvery
	if due {
		f.looked = time.Now()
	}
	known := f.changed
	f.mu.Unlock()
	if due {
		if info, err := os.Stat(f.path); err == nil && !info.ModTime().Equal(known) {
			f.mu.Lock()
			f.changed = info.ModTime()
			f.mu.Unlock()
			f.reload()
		}
	}
	s := f.current()
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, address(host, s.FirstPort+portCore))
		}
	}
	return addresses
}

func address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// parse reads and checks a configuration's text.
func parse(source []byte) (*catalog.Catalog, error) {
	description, err := api.ParseConfiguration(source)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c, err := catalog.New(description)
	return c, trace.Wrap(err)
}
