package org.almondslip.gateway;

import org.almondslip.directory.Directory;

/** Reads the state of the fleet and keeps a directory up to date. */
public interface DirectorySource extends AutoCloseable {

  /**
   * Starts to read the state of the fleet.
   *
   * @param directory the directory to update
   * @param peers the receiver of the addresses of other routers
   */
  void start(Directory directory, PeerAddressListener peers);

  @Override
  void close();
}
