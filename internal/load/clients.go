package load

import "github.com/primroseladder/primroseladder/client"

// NewClients returns a client for each region, with the settings otherwise the same.
func NewClients(regions []string, s client.Settings) []*client.Client {
	var clients []*client.Client
	for _, region := range regions {
		s.Region = region
		clients = append(clients, client.New(s))
	}
	return clients
}
