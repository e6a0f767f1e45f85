package org.almondslip.execution;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.almondslip.membership.Peer;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerAck;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.Attach;
import org.almondslip.protocol.wire.Cancel;
import org.almondslip.protocol.wire.Decline;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Offers;

/** Simulated router that delays, duplicates and withholds frames and loses its connection. */
final class SimulatedRouter {

  /** Ends of requests, by request number. */
  final Map<Long, AnswerEnd> ends = new HashMap<>();

  /** Acknowledged bytes, by request number. */
  final Map<Long, Integer> acknowledged = new HashMap<>();

  /** Dispatched requests without an end, by request number. */
  final Map<Long, Received> open = new LinkedHashMap<>();

  /** Numbers of the waiting requests. */
  final Deque<Long> queue = new ArrayDeque<>();

  /** Ids of the unanswered grants. */
  final Set<Long> unanswered = new HashSet<>();

  private final Random random;

  private final AgentLogic agent;

  private Link link;

  private long linkCount;

  private boolean faultsDisabled;

  /** Received part of an answer. */
  static final class Received {
    private long next;
    private int bytes;
    private final StringBuilder text = new StringBuilder();
  }

  /** Connection with frames in transit in both directions. */
  private final class Link implements Peer {
    private final Deque<Frame> toAgent = new ArrayDeque<>();
    private final Deque<Frame> toRouter = new ArrayDeque<>();
    private final long id = ++linkCount;

    @Override
    public long id() {
      return id;
    }

    @Override
    public PeerIdentity peer() {
      return AgentHarness.SELF;
    }

    @Override
    public void send(Frame frame) {
      toRouter.add(frame);
    }
  }

  SimulatedRouter(Random random, AgentLogic agent, int requests) {
    this.random = random;
    this.agent = agent;
    for (long i = 1; i <= requests; i++) {
      queue.add(i);
    }
    connect();
  }

  static String body(long number) {
    return (number % 7 == 0 ? "exclusive" : "plain") + number;
  }

  /** Disables further faults and reconnects. */
  void disableFaults() {
    faultsDisabled = true;
    connect();
  }

  /** Returns whether no frame is in transit and every grant has been answered. */
  boolean isQuiet() {
    return link.toAgent.isEmpty() && link.toRouter.isEmpty() && unanswered.isEmpty();
  }

  /** Performs one randomly chosen action. */
  void step() {
    int choice = random.nextInt(300);
    if (!faultsDisabled && choice == 0) {
      connect();
    } else if (!faultsDisabled && choice == 1 && !open.isEmpty()) {
      cancel(open.keySet().iterator().next());
    } else if (choice % 10 == 3) {
      open.forEach(this::acknowledge);
    } else if (choice % 2 == 0 && !link.toAgent.isEmpty()) {
      agent.onFrame(link, link.toAgent.removeFirst());
    } else if (!link.toRouter.isEmpty()) {
      onFrame(link.toRouter.removeFirst());
    }
  }

  private void connect() {
    if (link != null) {
      agent.onClose(link.id);
    }
    link = new Link();
    unanswered.clear();
    agent.onOpen(link);
    open.forEach(this::attach);
    send(Frame.newBuilder().setOffers(Offers.newBuilder().addOffers(offer())));
  }

  /** Attaches a request, which also acknowledges the received parts. */
  private void attach(long number, Received received) {
    acknowledged.put(number, received.bytes);
    Attach.Builder attach =
        Attach.newBuilder().setRequestId(AgentHarness.id(number)).setNextSequence(received.next);
    send(Frame.newBuilder().setAttach(attach));
  }

  private void cancel(long number) {
    open.remove(number);
    Cancel.Builder cancel = Cancel.newBuilder().setRequestId(AgentHarness.id(number));
    send(Frame.newBuilder().setCancel(cancel));
  }

  private FlowOffer offer() {
    boolean exclusive = !queue.isEmpty() && body(queue.getFirst()).startsWith("exclusive");
    return AgentHarness.flowOffer(queue.size(), exclusive);
  }

  private void send(Frame.Builder frame) {
    link.toAgent.add(frame.build());
  }

  private void onFrame(Frame frame) {
    if (frame.hasGrant()) {
      onGrant(frame.getGrant());
    } else if (frame.hasAnswer()) {
      onAnswer(frame.getAnswer());
    }
  }

  private void onGrant(Grant grant) {
    if (queue.isEmpty() || (!faultsDisabled && random.nextInt(10) == 0)) {
      Decline.Builder decline =
          Decline.newBuilder().setGrantId(grant.getGrantId()).setRemaining(offer());
      send(Frame.newBuilder().setDecline(decline));
      return;
    }
    long number = queue.removeFirst();
    open.put(number, new Received());
    Frame.Builder dispatch =
        Frame.newBuilder()
            .setDispatch(
                AgentHarness.request(grant, number)
                    .setBody(ByteString.copyFromUtf8(body(number)))
                    .setExclusive(body(number).startsWith("exclusive"))
                    .setRemaining(offer()));
    if (!faultsDisabled && random.nextInt(20) == 0) {
      unanswered.add(grant.getGrantId());
      return;
    }
    send(dispatch);
    if (!faultsDisabled && random.nextInt(5) == 0) {
      send(dispatch);
    }
  }

  private void onAnswer(Answer answer) {
    long number = answer.getRequestId().getSequence();
    Received received = open.get(number);
    if (received == null || answer.getSequence() < received.next) {
      return;
    }
    assertThat(answer.getSequence()).as("part of request " + number).isEqualTo(received.next);
    received.next++;
    received.bytes += answer.getData().size();
    received.text.append(answer.getData().toStringUtf8());
    if (answer.hasEnd()) {
      onEnd(number, received, answer.getEnd());
    }
    if (answer.hasEnd()) {
      acknowledge(number, received);
    }
  }

  private void acknowledge(long number, Received received) {
    acknowledged.put(number, received.bytes);
    AnswerAck.Builder ack =
        AnswerAck.newBuilder().setRequestId(AgentHarness.id(number)).setNextSequence(received.next);
    send(Frame.newBuilder().setAnswerAck(ack));
  }

  private void onEnd(long number, Received received, AnswerEnd end) {
    open.remove(number);
    ends.put(number, end);
    if (end.getComplete()) {
      StringBuilder whole = new StringBuilder();
      for (int i = 0; i < SimulatedTarget.CHUNKS; i++) {
        whole.append(SimulatedTarget.chunk(body(number), i));
      }
      assertThat(received.text.toString()).isEqualTo(whole.toString());
    }
  }
}
