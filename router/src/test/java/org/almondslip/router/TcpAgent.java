package org.almondslip.router;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.almondslip.membership.Member;
import org.almondslip.membership.PeerIdentity;
import org.almondslip.protocol.CloseReason;
import org.almondslip.protocol.PeerConnection;
import org.almondslip.protocol.PeerListener;
import org.almondslip.protocol.PeerTransport;
import org.almondslip.protocol.TrafficCounters;
import org.almondslip.protocol.TransportSettings;
import org.almondslip.protocol.wire.AgentStatus;
import org.almondslip.protocol.wire.Answer;
import org.almondslip.protocol.wire.AnswerEnd;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.Dispatch;
import org.almondslip.protocol.wire.FlowOffer;
import org.almondslip.protocol.wire.Frame;
import org.almondslip.protocol.wire.Grant;
import org.almondslip.protocol.wire.Heartbeat;
import org.almondslip.protocol.wire.Ran;
import org.almondslip.protocol.wire.RequestId;
import org.almondslip.protocol.wire.Role;

/** Agent over TCP that grants every offer and answers by the path of the request. */
final class TcpAgent implements PeerListener, AutoCloseable {

  /** Size of the answer to {@code /big}, in bytes. */
  static final int BIG = 8 << 20;

  /** Size of one part of it, in bytes. */
  private static final int PART = 32 << 10;

  /** Bytes that may be unacknowledged. */
  private static final int WINDOW = 256 << 10;

  /** Requests that have arrived. */
  final List<Dispatch> dispatches = new CopyOnWriteArrayList<>();

  /** Requests that were cancelled. */
  final List<RequestId> cancelled = new CopyOnWriteArrayList<>();

  /** Largest number of bytes sent of one answer. */
  final AtomicLong sentBytes = new AtomicLong();

  /** Next part of each answer to {@code /big}, by sequence of the request. */
  private final Map<Long, Long> nextParts = new ConcurrentHashMap<>();

  /** Id of the last grant. */
  private final AtomicLong grantId = new AtomicLong();

  /** Connections. */
  private final PeerTransport transport;

  /** Target. */
  private final String target;

  /**
   * Creates an agent that listens.
   *
   * @param target the target
   * @param secret the shared secret
   */
  TcpAgent(String target, String secret) {
    this.target = target;
    PeerIdentity identity =
        new PeerIdentity("i-" + target, 1, Role.AGENT, "north", "north-1", "127.0.0.1:0", target);
    AgentStatus status =
        AgentStatus.newBuilder().setSlots(4).setFreeSlots(4).setHealthy(true).build();
    this.transport =
        new PeerTransport(
            identity,
            TransportSettings.of(secret),
            () -> Heartbeat.newBuilder().setAgent(status).build(),
            this,
            new TrafficCounters());
    transport.listen();
  }

  /**
   * Returns the entry of the instance list.
   *
   * @return the member
   */
  Member member() {
    String address = transport.identity().innerAddress();
    return new Member("i-" + target, Role.AGENT, "north", "north-1", address, target, false);
  }

  @Override
  public void onOpen(PeerConnection connection) {}

  @Override
  public void onFrame(PeerConnection connection, Frame frame) {
    switch (frame.getBodyCase()) {
      case OFFERS -> frame.getOffers().getOffersList().forEach(offer -> grant(connection, offer));
      case DISPATCH -> answer(connection, frame.getDispatch());
      case CANCEL -> cancelled.add(frame.getCancel().getRequestId());
      case ANSWER_ACK -> {
        RequestId id = frame.getAnswerAck().getRequestId();
        continueBig(connection, id, frame.getAnswerAck().getNextSequence());
      }
      default -> {}
    }
  }

  @Override
  public void onClose(PeerConnection connection, CloseReason reason) {}

  @Override
  public void onDialFailed(String address, String detail) {}

  @Override
  public void close() {
    transport.close();
  }

  /**
   * Grants a slot for each waiting request.
   *
   * @param connection the connection
   * @param offer the offer
   */
  private void grant(PeerConnection connection, FlowOffer offer) {
    if (offer.getWaiting() > 0) {
      Grant.Builder grant =
          Grant.newBuilder().setGrantId(grantId.incrementAndGet()).setFlowId(offer.getFlowId());
      connection.send(Frame.newBuilder().setGrant(grant).build());
    }
  }

  /**
   * Answers a request.
   *
   * @param connection the connection
   * @param dispatch the request
   */
  private void answer(PeerConnection connection, Dispatch dispatch) {
    dispatches.add(dispatch);
    grant(connection, dispatch.getRemaining());
    RequestId id = dispatch.getRequestId();
    switch (dispatch.getPath()) {
      case Route.CHAT -> {
        head(connection, id, "text/event-stream");
        data(connection, id, 1, "id: 1\ndata: a\n\n");
        data(connection, id, 2, "id: 2\ndata: [DONE]\n\n");
        end(connection, id, 3, complete());
      }
      case "/hang" -> head(connection, id, "text/plain");
      case "/broken" -> {
        head(connection, id, "text/plain");
        data(connection, id, 1, "part");
        end(connection, id, 2, AnswerEnd.newBuilder().setCode("target-failed"));
      }
      case "/refused" ->
          end(connection, id, 0, AnswerEnd.newBuilder().setCode("no-target").setRan(Ran.NO));
      case "/big" -> {
        head(connection, id, "application/octet-stream");
        nextParts.put(id.getSequence(), 1L);
        continueBig(connection, id, 1);
      }
      default -> {
        head(connection, id, "text/plain");
        data(connection, id, 1, dispatch.getBody().toStringUtf8());
        end(connection, id, 2, complete());
      }
    }
  }

  /**
   * Sends the parts of a big answer that the window allows.
   *
   * @param connection the connection
   * @param id the request
   * @param acknowledged the first part that is not acknowledged
   */
  private void continueBig(PeerConnection connection, RequestId id, long acknowledged) {
    Long next = nextParts.get(id.getSequence());
    if (next == null) {
      return;
    }
    long part = next;
    while (part <= BIG / PART && (part - acknowledged + 1) * PART <= WINDOW) {
      data(connection, id, part, "x".repeat(PART));
      part++;
    }
    nextParts.put(id.getSequence(), part);
    sentBytes.accumulateAndGet((part - 1) * PART, Math::max);
    if (part > BIG / PART && nextParts.remove(id.getSequence()) != null) {
      end(connection, id, part, complete());
    }
  }

  /**
   * Sends the head of an answer.
   *
   * @param connection the connection
   * @param id the request
   * @param type the media type
   */
  private void head(PeerConnection connection, RequestId id, String type) {
    AnswerHead.Builder head = AnswerHead.newBuilder().setStatus(200);
    head.addHeadersBuilder().setName("Content-Type").setValue(type);
    send(connection, Answer.newBuilder().setRequestId(id).setHead(head));
  }

  /**
   * Sends data.
   *
   * @param connection the connection
   * @param id the request
   * @param sequence the sequence number
   * @param text the data
   */
  private void data(PeerConnection connection, RequestId id, long sequence, String text) {
    ByteString bytes = ByteString.copyFromUtf8(text);
    send(connection, Answer.newBuilder().setRequestId(id).setSequence(sequence).setData(bytes));
  }

  /**
   * Sends the end of an answer.
   *
   * @param connection the connection
   * @param id the request
   * @param sequence the sequence number
   * @param end the end
   */
  private void end(PeerConnection connection, RequestId id, long sequence, AnswerEnd.Builder end) {
    send(connection, Answer.newBuilder().setRequestId(id).setSequence(sequence).setEnd(end));
  }

  /**
   * Builds the end of a whole answer.
   *
   * @return the end
   */
  private static AnswerEnd.Builder complete() {
    return AnswerEnd.newBuilder().setComplete(true).setRan(Ran.YES).setCostMs(5);
  }

  /**
   * Sends a part of an answer.
   *
   * @param connection the connection
   * @param answer the part
   */
  private static void send(PeerConnection connection, Answer.Builder answer) {
    connection.send(Frame.newBuilder().setAnswer(answer).build());
  }
}
