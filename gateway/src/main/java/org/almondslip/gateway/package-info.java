/** Router that calls targets itself: callers' API, connections to targets, forwarding. */
package org.almondslip.gateway;
