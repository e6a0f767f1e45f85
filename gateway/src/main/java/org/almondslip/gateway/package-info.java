/** Router that calls targets itself: API for callers, connections to targets, forwarding. */
package org.almondslip.gateway;
