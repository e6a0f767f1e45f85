package org.almondslip.directory;

/**
 * Limits on what callers send.
 *
 * @param maxHeaderBytes the largest size of all headers, in bytes
 * @param maxBodyBytes the largest size of a body, in bytes
 * @param headerMillis the longest time that the headers of a request may take, in milliseconds
 * @param idleMillis the longest time that a connection may stay idle, in milliseconds
 */
public record IntakeLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerMillis, long idleMillis) {}
