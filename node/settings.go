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
	// fileCheckInterval is the minimum time between checks whether the file has changed without a SIGHUP.
	fileCheckInterval = time.Second
)

// Ports for calls between hosts, as offsets from the first port of the settings.
const (
	portOffsetCore = iota
	portOffsetEntry
)

// Ports of the metrics, as in deploy/system.toml.
const (
	portEntryMetrics = 9464
	portCoreMetrics  = 9465
)

// settingsFile is a settings file with the settings that were last read from it.
type settingsFile struct {
	path     string
	mu       sync.Mutex
	settings machine.Settings
	// modTime is the file's last known modification time, and lastCheck is when the method seeds last checked it.
	modTime   time.Time
	lastCheck time.Time
}

func openSettings(path string) (*settingsFile, error) {
	settings, err := machine.Read(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &settingsFile{path: path, settings: settings, lastCheck: time.Now()}
	if info, err := os.Stat(path); err == nil {
		f.modTime = info.ModTime()
	}
	return f, nil
}

func (f *settingsFile) current() machine.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// reload reads the file again. An invalid file leaves the settings unchanged.
func (f *settingsFile) reload() {
	settings, err := machine.Read(f.path)
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
	klog.InfoS("Settings reloaded", "seeds", settings.Seeds)
}

// seeds returns the peer addresses of the core hosts in the settings. It reloads the file if it has changed.
func (f *settingsFile) seeds() []string {
	f.mu.Lock()
	due := time.Since(f.lastCheck) > fileCheckInterval
	if due {
		f.lastCheck = time.Now()
	}
	modTime := f.modTime
	f.mu.Unlock()
	if due {
		if info, err := os.Stat(f.path); err == nil && !info.ModTime().Equal(modTime) {
			f.mu.Lock()
			f.modTime = info.ModTime()
			f.mu.Unlock()
			f.reload()
		}
	}
	s := f.current()
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addresses = append(addresses, address(host, s.FirstPort+portOffsetCore))
		}
	}
	return addresses
}

func address(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// parse parses and validates the text of a configuration.
func parse(source []byte) (*catalog.Catalog, error) {
	description, err := api.ParseConfiguration(source)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c, err := catalog.New(description)
	return c, trace.Wrap(err)
}
