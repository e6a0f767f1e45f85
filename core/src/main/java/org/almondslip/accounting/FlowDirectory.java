package org.almondslip.accounting;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.Flow;

/** Looks up flows and the targets that they reach. */
public interface FlowDirectory {

  /**
   * Returns a flow.
   *
   * @param flowId the identity of the flow
   * @return the flow, or empty when it is unknown
   */
  Optional<Flow> flow(int flowId);

  /**
   * Returns the targets that a flow reaches. The same instance is returned until they change, so
   * that callers may compare by identity.
   *
   * @param flowId the identity of the flow
   * @return the names of the targets, empty when the flow is unknown
   */
  Set<String> targetsOf(int flowId);

  /**
   * Returns a directory that reads the current catalog.
   *
   * @param catalog the source of the catalog
   * @return the directory
   */
  static FlowDirectory of(Supplier<Catalog> catalog) {
    return new FlowDirectory() {
      @Override
      public Optional<Flow> flow(int flowId) {
        return catalog.get().flow(flowId);
      }

      @Override
      public Set<String> targetsOf(int flowId) {
        return catalog.get().targetsOf(flowId);
      }
    };
  }
}
