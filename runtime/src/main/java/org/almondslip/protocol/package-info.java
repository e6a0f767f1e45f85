/** Inner protocol between routers and agents: framing, handshake and heartbeats. */
package org.almondslip.protocol;
