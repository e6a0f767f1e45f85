/** Isolation of requests that are suspected of crashing targets. */
package org.almondslip.quarantine;
