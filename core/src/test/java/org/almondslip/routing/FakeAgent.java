package org.almondslip.routing;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Header;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.protocol.wire.RequestId;

/** Agent with a target that answers each request with text derived from its body. */
final class FakeAgent implements SimulatedAgent {

  /** Size of the data in one frame, smaller than an event so that events are cut. */
  private static final int CHUNK = 7;

  /** Number of events or lines of an answer. */
  private static final int EVENTS = 5;

  /** Frames for the router that have not been delivered. */
  private final Deque<Frame> outgoing = new ArrayDeque<>();

  /** How often each body was run by any agent of the fleet. */
  private final Map<String, Integer> runs;

  private final int slots;

  private final Map<Integer, FlowOffer> offers = new HashMap<>();

  /** Grants without an answer. */
  private final Set<Long> grants = new HashSet<>();

  /** Requests that were received. */
  private final Map<RequestId, Run> received = new LinkedHashMap<>();

  private long grantId;

  /** One request at the target. */
  static final class Run {
    /** All parts of the answer that have been sent. */
    final List<Answer> parts = new ArrayList<>();

    /** Remaining text of the answer. */
    ByteString left = ByteString.EMPTY;

    /** Whether the end has been sent. */
    boolean ended;
  }

  FakeAgent(int slots, Map<String, Integer> runs) {
    this.slots = slots;
    this.runs = runs;
  }

  /**
   * Returns the answer of a target.
   *
   * @param body the body of the request
   * @param after the events to leave out
   * @return the text
   */
  static ByteString answerTo(String body, int after) {
    StringBuilder text = new StringBuilder();
    for (int i = after; i < EVENTS; i++) {
      text.append("id: ").append(i + 1).append("\ndata: ").append(body).append("\n\n");
    }
    return ByteString.copyFromUtf8(text.toString());
  }

  @Override
  public Deque<Frame> outgoing() {
    return outgoing;
  }

  @Override
  public void onConnect(long connection) {}

  @Override
  public void onDisconnect() {
    offers.clear();
    grants.clear();
    outgoing.clear();
  }

  @Override
  public void onFrame(Frame frame) {
    switch (frame.getBodyCase()) {
      case OFFERS -> frame.getOffers().getOffersList().forEach(this::applyOffer);
      case DISPATCH -> onDispatch(frame.getDispatch());
      case DECLINE -> {
        grants.remove(frame.getDecline().getGrantId());
        applyOffer(frame.getDecline().getRemaining());
      }
      case CANCEL -> end(run(frame.getCancel().getRequestId()), frame.getCancel().getRequestId());
      case ATTACH -> attach(frame.getAttach().getRequestId(), frame.getAttach().getNextSequence());
      default -> {}
    }
  }

  @Override
  public void work() {
    for (FlowOffer offer : List.copyOf(offers.values())) {
      if (running() + grants.size() < slots && (!offer.getExclusive() || running() == 0)) {
        grantId++;
        grants.add(grantId);
        outgoing.add(
            Frame.newBuilder()
                .setGrant(
                    Grant.newBuilder()
                        .setGrantId(grantId)
                        .setFlowId(offer.getFlowId())
                        .setExclusive(offer.getExclusive()))
                .build());
      }
    }
    received.forEach(this::advance);
  }

  @Override
  public void abortRunning() {
    received.forEach(
        (id, run) -> {
          if (!run.ended && !run.parts.isEmpty()) {
            end(run, id);
          }
        });
  }

  @Override
  public void returnUnstarted() {
    received.forEach(
        (id, run) -> {
          if (!run.ended && run.parts.isEmpty()) {
            send(run, id, Answer.newBuilder().setEnd(endOf("draining", Ran.NO)));
          }
        });
  }

  /**
   * Returns the number of running requests.
   *
   * @return the number
   */
  private int running() {
    return (int) received.values().stream().filter(run -> !run.ended).count();
  }

  /**
   * Applies an offer.
   *
   * @param offer the offer
   */
  private void applyOffer(FlowOffer offer) {
    if (offer.getWaiting() == 0) {
      offers.remove(offer.getFlowId());
    } else {
      offers.put(offer.getFlowId(), offer);
    }
  }

  /**
   * Accepts a request unless its id has been received before.
   *
   * @param dispatch the request
   */
  private void onDispatch(Dispatch dispatch) {
    grants.remove(dispatch.getGrantId());
    applyOffer(dispatch.getRemaining());
    if (received.containsKey(dispatch.getRequestId())) {
      return;
    }
    Run run = run(dispatch.getRequestId());
    run.left = answerTo(dispatch.getBody().toStringUtf8(), dispatch.getResumeAfter());
    run.ended = false;
    bodies.put(dispatch.getRequestId(), dispatch.getBody().toStringUtf8());
  }

  /** Bodies of the received requests. */
  private final Map<RequestId, String> bodies = new HashMap<>();

  /**
   * Replays an answer.
   *
   * @param id the request
   * @param next the first part to send
   */
  private void attach(RequestId id, long next) {
    if (!received.containsKey(id)) {
      send(run(id), id, Answer.newBuilder().setEnd(endOf("agent-lost", Ran.NO)));
      return;
    }
    List<Answer> parts = received.get(id).parts;
    for (int i = (int) next; i < parts.size(); i++) {
      outgoing.add(Frame.newBuilder().setAnswer(parts.get(i)).build());
    }
  }

  /**
   * Sends the next part of an answer. The first part means that the target runs the request.
   *
   * @param id the request
   * @param run its state
   */
  private void advance(RequestId id, Run run) {
    if (run.ended) {
      return;
    }
    if (run.parts.isEmpty()) {
      runs.merge(bodies.get(id), 1, Integer::sum);
      Header type =
          Header.newBuilder().setName("content-type").setValue("text/event-stream").build();
      send(
          run,
          id,
          Answer.newBuilder().setHead(AnswerHead.newBuilder().setStatus(200).addHeaders(type)));
    } else if (!run.left.isEmpty()) {
      int size = Math.min(CHUNK, run.left.size());
      send(run, id, Answer.newBuilder().setData(run.left.substring(0, size)));
      run.left = run.left.substring(size);
    } else {
      send(
          run,
          id,
          Answer.newBuilder()
              .setEnd(AnswerEnd.newBuilder().setComplete(true).setRan(Ran.YES).setCostMs(10)));
    }
  }

  /**
   * Ends a run early.
   *
   * @param run the run
   * @param id the request
   */
  private void end(Run run, RequestId id) {
    if (!run.ended) {
      Ran ran = run.parts.isEmpty() ? Ran.NO : Ran.UNKNOWN;
      send(run, id, Answer.newBuilder().setEnd(endOf("target-failed", ran)));
    }
  }

  /**
   * Returns the state of a request, created without a dispatch when it is missing.
   *
   * @param id the request
   * @return the state
   */
  private Run run(RequestId id) {
    return received.computeIfAbsent(id, missing -> new Run());
  }

  /**
   * Builds the end of an answer that is not complete.
   *
   * @param code the code
   * @param ran whether the request was executed
   * @return the end
   */
  private static AnswerEnd endOf(String code, Ran ran) {
    return AnswerEnd.newBuilder().setCode(code).setRan(ran).build();
  }

  /**
   * Sends a part and keeps it.
   *
   * @param run the run
   * @param id the request
   * @param part the part without id and sequence
   */
  private void send(Run run, RequestId id, Answer.Builder part) {
    run.ended = part.hasEnd();
    Answer answer = part.setRequestId(id).setSequence(run.parts.size()).build();
    run.parts.add(answer);
    outgoing.add(Frame.newBuilder().setAnswer(answer).build());
  }
}
