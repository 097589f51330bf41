// Chooses a loopback port for a process that can't bind to port 0.

#ifndef MEDLARSPREAD_TESTS_SUPPORT_FREE_PORT_H_
#define MEDLARSPREAD_TESTS_SUPPORT_FREE_PORT_H_

namespace medlarspread::tests {

// Returns a port without a listener, below the range that the system uses for
// outgoing connections: any process could take a port in that range between
// this call and the start of the listener. Each call returns another port.
int FreePort();

}  // namespace medlarspread::tests

#endif  // MEDLARSPREAD_TESTS_SUPPORT_FREE_PORT_H_
