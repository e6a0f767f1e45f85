package org.almondslip.standins;

import io.vertx.core.Vertx;

/** An outside system that the process imitates. */
public interface Standin extends AutoCloseable {

  /**
   * Returns the name in the settings.
   *
   * @return the name
   */
  String name();

  /** Binds the address and serves. Returns when the address is bound. */
  void start();

  @Override
  void close();

  /** Settings of a stand-in that have been read and checked. */
  @FunctionalInterface
  interface Factory {

    /**
     * Creates a stand-in that is not started.
     *
     * @param vertx the event loops to use
     * @return the stand-in
     */
    Standin create(Vertx vertx);
  }
}
