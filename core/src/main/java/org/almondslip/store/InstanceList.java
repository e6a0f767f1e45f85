package org.almondslip.store;

import java.util.List;
import java.util.function.Consumer;
import org.almondslip.membership.Member;

/** The platform's list of instances, which may be several seconds out of date. */
public interface InstanceList {

  /**
   * Reads the list asynchronously.
   *
   * @param callback receives the live and leaving instances
   */
  void list(Consumer<StoreResult<List<Member>>> callback);
}
