package org.almondslip.directory;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum total size of the headers, in bytes
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param headerTimeoutMillis the maximum time for receiving the headers of a request, in
 *     milliseconds
 * @param idleTimeoutMillis the maximum time that a connection may be idle, in milliseconds
 */
public record IngressLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
