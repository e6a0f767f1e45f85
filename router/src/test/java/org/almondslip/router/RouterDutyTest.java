package org.almondslip.router;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import org.almondslip.catalog.Catalog;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Role;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.routing.DialPlanner;
import org.almondslip.routing.Outcome;
import org.almondslip.routing.RouterEffects;
import org.almondslip.routing.RouterLogic;
import org.almondslip.routing.RoutingSettings;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Cases of {@link RouterDuty}. */
class RouterDutyTest {

  /** Clock that stands still. */
  private final Clock clock = new Clock.Manual(1_000);

  /** Source of random order. */
  private final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1L);

  /** Decisions. */
  private final RouterLogic logic =
      new RouterLogic(
          1,
          "r",
          RoutingSettings.DEFAULT,
          new SuspectRegistry(),
          clock,
          random,
          NoCallers.INSTANCE);

  /** Work under test. */
  private final RouterDuty duty =
      new RouterDuty(
          logic,
          new DialPlanner("r1", "r", random, address -> {}),
          new FleetSource.Fixed(Catalog.EMPTY, List.of()),
          clock,
          catalog -> {});

  /**
   * Guards against an agent that gets no work: its announcement stood for the router's own
   * connection, which was ignored, and left none when it was closed.
   */
  @Test
  void announcementDoesNotStandForTheDialledConnection() {
    Connection announcement = new Connection(1, false);
    duty.onEvent(new RouterEvent.Opened(announcement));
    duty.onEvent(new RouterEvent.Opened(new Connection(2, true)));
    duty.onEvent(new RouterEvent.Closed(announcement, true));
    assertThat(logic.stats().agents()).isEqualTo(1);
  }

  /**
   * Connection to an agent that drops what is sent.
   *
   * @param id the number of the connection
   * @param dialled whether the router opened it
   */
  private record Connection(long id, boolean dialled) implements PeerConnection {

    @Override
    public PeerIdentity peer() {
      return new PeerIdentity("m1", 7, Role.AGENT, "r", "d", "127.0.0.1:1", "t1");
    }

    @Override
    public void send(Frame frame) {}

    @Override
    public void close() {}
  }

  /** Effects of a router without callers. */
  private enum NoCallers implements RouterEffects {
    /** The only instance. */
    INSTANCE;

    @Override
    public void head(long caller, AnswerHead head) {}

    @Override
    public void data(long caller, ByteString data) {}

    @Override
    public void end(long caller, Outcome outcome) {}

    @Override
    public void dialMore(String pool) {}

    @Override
    public void recordSuspect(SuspectNotice notice) {}
  }
}
