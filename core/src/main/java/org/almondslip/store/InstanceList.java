package org.almondslip.store;

import java.util.List;
import java.util.function.Consumer;
import org.almondslip.membership.Member;

/** The platform's list of instances. It lags behind the truth by seconds. */
public interface InstanceList {

  /**
   * Reads the list.
   *
   * @param callback receives the live and leaving instances
   */
  void list(Consumer<StoreResult<List<Member>>> callback);
}
