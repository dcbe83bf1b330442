package settingsloader

import "time"

// Default returns the settings that apply where no source sets them.
func Default() Settings {
	return Settings{
		Peers: []string{},
		Listen: Listen{
			Callers:   "127.0.0.1:7101",
			Operators: "127.0.0.1:7102",
			Peers:     "127.0.0.1:7103",
		},
		Platform: Platform{
			URL:            "http://127.0.0.1:7100",
			Timeout:        2 * time.Second,
			VMListInterval: time.Second,
		},
		Callers: Callers{
			RequireTokens: true,
			MaxBodyBytes:  8 << 20,
			MaxTasks:      1900,
			MaxRequests:   20_000,
			MaxWait:       30 * time.Second,
		},
		Records: Records{
			Retention:    10 * time.Minute,
			MaxClockSkew: 2 * time.Second,
			MaxCount:     200_000,
		},
		Shutdown: Shutdown{Timeout: 30 * time.Second},
	}
}
