// Package e2e has end-to-end tests of the figweir binary. The nodes, and the
// stand-ins for the platform, the engines and the services, run as separate processes
// on loopback; tests kill, pause and stop them. The package has only tests.
package e2e
