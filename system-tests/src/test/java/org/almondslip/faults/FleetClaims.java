package org.almondslip.faults;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.order.AgentLiveness;
import org.almondslip.order.ClaimCounters;
import org.almondslip.order.ClaimLimits;
import org.almondslip.order.TableClaims;
import org.almondslip.store.ObjectStore;
import org.almondslip.store.StoreResult;

/** Claims of the agents over the fake table service. */
final class FleetClaims implements AgentLiveness {

  private final Timeline timeline;
  private final FakeTableStore store;
  private final Map<String, Long> newest = new HashMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();

  FleetClaims(Timeline timeline, FakeTableStore store) {
    this.timeline = timeline;
    this.store = store;
  }

  TableClaims of(Node node, PeerIdentity self) {
    newest.put(self.instanceId(), self.incarnation());
    return new TableClaims(
        self,
        store.clientOf(node),
        new Objects(node),
        this,
        ClaimLimits.DEFAULT,
        timeline.clock(),
        new ClaimCounters());
  }

  @Override
  public boolean hasEnded(String instance, long incarnation) {
    return newest.getOrDefault(instance, 0L) > incarnation;
  }

  /** Object store that always answers. */
  private final class Objects implements ObjectStore {

    private final Node node;

    Objects(Node node) {
      this.node = node;
    }

    @Override
    public void put(String key, byte[] value, Consumer<StoreResult<Boolean>> callback) {
      objects.put(key, value);
      timeline.after(1, () -> node.run(() -> callback.accept(new StoreResult.Success<>(true))));
    }

    @Override
    public void get(String key, Consumer<StoreResult<Optional<byte[]>>> callback) {
      Optional<byte[]> value = Optional.ofNullable(objects.get(key));
      timeline.after(1, () -> node.run(() -> callback.accept(new StoreResult.Success<>(value))));
    }
  }
}
