package org.almondslip.protocol;

/** Reason for which a connection was closed. */
public enum CloseReason {
  /** The peer or the network closed it. */
  CLOSED_BY_PEER,
  /** No data arrived within the idle timeout. */
  SILENT,
  /** The handshake was not completed in time, or the proof or the protocol version was wrong. */
  HANDSHAKE_FAILED,
  /** The peer sent an invalid frame. */
  PROTOCOL_VIOLATION,
  /** The peer read too slowly, so the queued frames exceeded their limit. */
  SEND_BUFFER_FULL,
  /** This process closed it. */
  CLOSED_LOCALLY
}
