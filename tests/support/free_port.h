// A loopback port for a process that must be told its own.

#ifndef MEDLARSPREAD_TESTS_SUPPORT_FREE_PORT_H_
#define MEDLARSPREAD_TESTS_SUPPORT_FREE_PORT_H_

namespace medlarspread::tests {

// A port where nobody listens, below those that the system gives to outgoing
// connections: one of these could be taken by any process between the choice
// and the start of whoever is to listen. Each call returns another one.
int FreePort();

}  // namespace medlarspread::tests

#endif  // MEDLARSPREAD_TESTS_SUPPORT_FREE_PORT_H_
