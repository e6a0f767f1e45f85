package org.almondslip.directory;

/**
 * Limits on what callers send.
 *
 * @param maxHeaderBytes the largest size of all headers, in bytes
 * @param maxBodyBytes the largest size of a body, in bytes
 * @param headerTimeoutMillis the longest time that the headers of a request may take, in
 *     milliseconds
 * @param idleTimeoutMillis the longest time that a connection may stay idle, in milliseconds
 */
public record IngressLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
