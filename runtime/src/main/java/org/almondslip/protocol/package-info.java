/** Inner protocol between routers and agents: framing, handshake, heartbeats. */
package org.almondslip.protocol;
