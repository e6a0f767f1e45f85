package org.almondslip.routing;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogObject;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.catalog.FlowId;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.quarantine.SuspectRegistry;
import org.almondslip.time.Clock;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Router with two organisations, a model pool and an order pool, and agents simulated by frames.
 */
final class RoutingFixture {

  /** Time limit of requests, in milliseconds. */
  static final long TIMEOUT = 60_000;

  final Clock.Manual clock = new Clock.Manual(1_000);

  final RecordingEffects effects = new RecordingEffects();

  final RouterLogic router;

  /** Number of the next connection and grant. */
  private long next = 1;

  RoutingFixture(RoutingSettings settings) {
    router =
        new RouterLogic(
            77,
            "north",
            settings,
            new SuspectRegistry(),
            clock,
            RandomSource.XO_RO_SHI_RO_128_PP.create(42L),
            effects);
    router.onCatalog(catalog());
  }

  /** Creates a router with the default limits. */
  RoutingFixture() {
    this(RoutingSettings.DEFAULT);
  }

  /**
   * Builds the catalog.
   *
   * @return models m1 to m5 in pool belt and services s1 and s2 in pool orders
   */
  static Catalog catalog() {
    List<VersionedObject> objects = new ArrayList<>();
    for (String organisation : List.of("acme", "umbra")) {
      add(objects, new Organisation(organisation, List.of("belt", "orders")));
    }
    for (int i = 1; i <= 5; i++) {
      add(objects, target("m" + i, "belt", Target.Type.MODEL));
    }
    add(objects, target("s1", "orders", Target.Type.SERVICE));
    add(objects, target("s2", "orders", Target.Type.SERVICE));
    return Catalog.EMPTY.merge(objects, 1);
  }

  /**
   * Connects an agent.
   *
   * @param target the target
   * @param region the region
   * @param incarnation the incarnation
   * @return the connection
   */
  RecordingPeer connect(String target, String region, long incarnation) {
    RecordingPeer peer =
        new RecordingPeer(next++, RecordingPeer.agent(target, region, incarnation));
    router.onPeerOpen(peer);
    return peer;
  }

  /**
   * Sends a model call that streams.
   *
   * @param caller the caller
   */
  void chat(long caller) {
    router.onRequest(request(caller, CallerRequest.Kind.MODEL, "POST", TIMEOUT));
  }

  /**
   * Sends an order, which is not idempotent.
   *
   * @param caller the caller
   */
  void order(long caller) {
    router.onRequest(request(caller, CallerRequest.Kind.SERVICE, "POST", TIMEOUT));
  }

  /**
   * Builds a request of acme.
   *
   * @param caller the caller
   * @param kind the kind
   * @param method the method
   * @param timeout the time limit, in milliseconds
   * @return the request
   */
  static CallerRequest request(long caller, CallerRequest.Kind kind, String method, long timeout) {
    boolean model = kind == CallerRequest.Kind.MODEL;
    return new CallerRequest(
        caller,
        "acme",
        model ? "belt" : "orders",
        kind,
        method,
        "/x",
        List.of(),
        ByteString.copyFromUtf8("caller-" + caller),
        timeout,
        100,
        model,
        "");
  }

  /**
   * Grants a slot for acme's flow and returns the request that the router sends.
   *
   * @param peer the connection
   * @param pool the pool
   * @param exclusive whether the target runs nothing else
   * @return the requests sent on the connection so far
   */
  List<Dispatch> grant(RecordingPeer peer, String pool, boolean exclusive) {
    Grant.Builder grant =
        Grant.newBuilder()
            .setGrantId(next++)
            .setFlowId(FlowId.of("acme", pool))
            .setExclusive(exclusive);
    router.onFrame(peer, Frame.newBuilder().setGrant(grant).build());
    return peer.of(Frame.BodyCase.DISPATCH).stream().map(Frame::getDispatch).toList();
  }

  /**
   * Sends the head of an answer.
   *
   * @param peer the connection
   * @param id the request
   * @param type the media type
   */
  void head(RecordingPeer peer, RequestId id, String type) {
    AnswerHead.Builder head = AnswerHead.newBuilder().setStatus(200);
    head.addHeadersBuilder().setName("content-type").setValue(type);
    send(peer, Answer.newBuilder().setRequestId(id).setHead(head));
  }

  /**
   * Sends the head of an answer without headers.
   *
   * @param peer the connection
   * @param id the request
   * @param status the status
   */
  void head(RecordingPeer peer, RequestId id, int status) {
    send(
        peer,
        Answer.newBuilder().setRequestId(id).setHead(AnswerHead.newBuilder().setStatus(status)));
  }

  /**
   * Sends data of an answer.
   *
   * @param peer the connection
   * @param id the request
   * @param sequence the sequence number
   * @param text the data
   */
  void data(RecordingPeer peer, RequestId id, long sequence, String text) {
    send(
        peer,
        Answer.newBuilder()
            .setRequestId(id)
            .setSequence(sequence)
            .setData(ByteString.copyFromUtf8(text)));
  }

  /**
   * Sends the end of an answer.
   *
   * @param peer the connection
   * @param id the request
   * @param sequence the sequence number
   * @param end the end
   */
  void end(RecordingPeer peer, RequestId id, long sequence, AnswerEnd.Builder end) {
    send(peer, Answer.newBuilder().setRequestId(id).setSequence(sequence).setEnd(end));
  }

  /**
   * Advances the clock with a tick every 10 ms.
   *
   * @param millis the time, in milliseconds
   */
  void advanceTime(long millis) {
    for (long left = millis; left > 0; left -= 10) {
      clock.advance(Math.min(10, left));
      router.onTick();
    }
  }

  /**
   * Sends a part of an answer.
   *
   * @param peer the connection
   * @param answer the part
   */
  private void send(RecordingPeer peer, Answer.Builder answer) {
    router.onFrame(peer, Frame.newBuilder().setAnswer(answer).build());
  }

  /**
   * Adds an object to a list.
   *
   * @param objects the list
   * @param object the object
   */
  private static void add(List<VersionedObject> objects, CatalogObject object) {
    objects.add(new VersionedObject(object, 1, 1));
  }

  /**
   * Builds a target.
   *
   * @param name the name
   * @param pool the pool
   * @param type the type
   * @return the target
   */
  private static Target target(String name, String pool, Target.Type type) {
    return new Target(name, pool, type, 2, null, null, null);
  }
}
