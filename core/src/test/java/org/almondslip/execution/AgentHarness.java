package org.almondslip.execution;

import com.google.protobuf.ByteString;
import java.util.List;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.FlowId;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.AnswerAck;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Attach;
import org.almondslip.protocol.wire.Cancel;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Offers;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.protocol.wire.Role;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.time.Clock;

/** Agent with a fake router, target, claims, offer scheduler and accounts. */
final class AgentHarness {

  /** Id of the flow that the router offers. */
  static final int FLOW = FlowId.of("acme", "pool");

  /** Agent beside the target. */
  static final PeerIdentity SELF =
      new PeerIdentity("i1", 42, Role.AGENT, "r", "d", "127.0.0.1:2", "t1");

  /** Clock of the agent. */
  final Clock.Manual clock = new Clock.Manual(1_000);

  /** Target of the agent. */
  final FakeTarget target = new FakeTarget();

  /** Claims of the agent. */
  final FakeClaims claims = new FakeClaims();

  /** Accounts of the agent. */
  final FakeAccounts accounts = new FakeAccounts();

  /** Crash records of the agent. */
  final SuspectRegistry suspects = new SuspectRegistry();

  /** Counters of the agent. */
  final ExecutionCounters counters = new ExecutionCounters();

  /** First connection to the router. */
  final FakePeer router = new FakePeer(1);

  /** Agent under test. */
  final AgentLogic agent;

  /**
   * Creates an agent with a healthy target and an open connection.
   *
   * @param slots the slots of the target
   * @param limits the limits of the agent
   */
  AgentHarness(int slots, AgentLimits limits) {
    agent =
        new AgentLogic(
            SELF,
            limits,
            clock,
            target,
            claims,
            new FifoOfferScheduler(),
            accounts,
            suspects,
            counters);
    agent.onCatalog(catalog(slots, CatalogObject.Target.State.ACTIVE, 1));
    agent.onOpen(router);
    agent.onTick();
    agent.onProbe(true);
  }

  /**
   * Builds a catalog with one target and one organisation.
   *
   * @param slots the slots of the target
   * @param state the state of the target
   * @param number the number of the ticket
   * @return the catalog
   */
  static Catalog catalog(int slots, CatalogObject.Target.State state, long number) {
    CatalogObject target =
        new CatalogObject.Target("t1", "pool", null, slots, null, state, List.of());
    CatalogObject organisation = new CatalogObject.Organisation("acme", List.of("pool"));
    return Catalog.EMPTY.merge(
        List.of(
            new VersionedObject(target, number, number),
            new VersionedObject(organisation, number, number)),
        number);
  }

  /**
   * Offers requests.
   *
   * @param waiting the number of waiting requests
   * @param exclusive whether the first request must run exclusively
   */
  void offer(int waiting, boolean exclusive) {
    FlowOffer offer = flowOffer(waiting, exclusive);
    agent.onFrame(
        router, Frame.newBuilder().setOffers(Offers.newBuilder().addOffers(offer)).build());
  }

  /**
   * Builds an offer.
   *
   * @param waiting the number of waiting requests
   * @param exclusive whether the first request must run exclusively
   * @return the offer
   */
  static FlowOffer flowOffer(int waiting, boolean exclusive) {
    return FlowOffer.newBuilder()
        .setFlowId(FLOW)
        .setWaiting(waiting)
        .setEstimateMs(100)
        .setExclusive(exclusive)
        .build();
  }

  /**
   * Builds a request that answers a grant.
   *
   * @param grant the grant
   * @param sequence the number of the request
   * @return the request
   */
  static Dispatch.Builder request(Grant grant, long sequence) {
    return Dispatch.newBuilder()
        .setGrantId(grant.getGrantId())
        .setRequestId(id(sequence))
        .setOrganisation("acme")
        .setPool("pool")
        .setMethod("POST")
        .setPath("/run")
        .setBody(ByteString.copyFromUtf8("body " + sequence))
        .setDeadlineMs(60_000)
        .setFingerprint(sequence)
        .setExclusive(grant.getExclusive());
  }

  /**
   * Builds a request id.
   *
   * @param sequence the number of the request
   * @return the id
   */
  static RequestId id(long sequence) {
    return RequestId.newBuilder().setRouterIncarnation(7).setSequence(sequence).build();
  }

  /**
   * Sends a request.
   *
   * @param dispatch the request
   */
  void dispatch(Dispatch.Builder dispatch) {
    agent.onFrame(router, Frame.newBuilder().setDispatch(dispatch).build());
  }

  /**
   * Offers one request and dispatches it on its grant.
   *
   * @param sequence the number of the request
   * @return the token of its call
   */
  long run(long sequence) {
    offer(1, false);
    List<Grant> grants = router.grants();
    Grant grant = grants.get(grants.size() - 1);
    dispatch(request(grant, sequence).setRemaining(flowOffer(0, false)));
    return grant.getGrantId();
  }

  /**
   * Attaches a connection to a request.
   *
   * @param peer the connection
   * @param sequence the number of the request
   * @param next the first part that the router does not have
   */
  void attach(Peer peer, long sequence, long next) {
    Attach.Builder attach = Attach.newBuilder().setRequestId(id(sequence)).setNextSequence(next);
    agent.onFrame(peer, Frame.newBuilder().setAttach(attach).build());
  }

  /**
   * Acknowledges parts.
   *
   * @param sequence the number of the request
   * @param next the first part that the router does not have
   */
  void ack(long sequence, long next) {
    AnswerAck.Builder ack = AnswerAck.newBuilder().setRequestId(id(sequence)).setNextSequence(next);
    agent.onFrame(router, Frame.newBuilder().setAnswerAck(ack).build());
  }

  /**
   * Cancels a request.
   *
   * @param sequence the number of the request
   */
  void cancel(long sequence) {
    Cancel.Builder cancel = Cancel.newBuilder().setRequestId(id(sequence));
    agent.onFrame(router, Frame.newBuilder().setCancel(cancel).build());
  }

  /**
   * Advances the clock and ticks the agent.
   *
   * @param millis the time to advance, in milliseconds
   */
  void tickAfter(long millis) {
    clock.advance(millis);
    agent.onTick();
  }

  /**
   * Completes a call with a status and one chunk of data.
   *
   * @param token the call
   * @param text the data
   */
  void answer(long token, String text) {
    agent.onTargetHead(token, AnswerHead.newBuilder().setStatus(200).build());
    agent.onTargetData(token, ByteString.copyFromUtf8(text));
  }
}
