// Package e2e tests the program as it is run: the platform stand-in, engines,
// services and nodes are separate processes on loopback that are killed, paused
// and stopped. The package has tests only; figweir itself starts no processes.
package e2e
