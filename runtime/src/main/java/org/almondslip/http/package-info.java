/**
 * Checks of HTTP/1.1 responses that hold for every connection on which this software is a client.
 */
package org.almondslip.http;
