package org.almondslip.protocol;

/** Why a connection ended. */
public enum CloseReason {
  /** The peer or the network closed it. */
  CLOSED_BY_PEER,
  /** Nothing arrived within the silence limit. */
  SILENT,
  /** The peer did not prove the shared secret, or speaks another protocol version. */
  HANDSHAKE_FAILED,
  /** The peer sent something that is not a valid frame. */
  PROTOCOL_VIOLATION,
  /** The peer reads too slowly, so queued frames exceeded their limit. */
  SEND_BUFFER_FULL,
  /** This process closed it. */
  CLOSED_LOCALLY
}
