package org.almondslip.standins;

/** A stand-in for one outside system. */
public interface Standin extends AutoCloseable {

  /**
   * Returns the name that the settings give it.
   *
   * @return the name
   */
  String name();

  /**
   * Starts to listen.
   *
   * @return the address with the port that was bound
   */
  String start();

  @Override
  void close();
}
