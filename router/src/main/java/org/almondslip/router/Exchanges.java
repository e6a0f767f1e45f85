package org.almondslip.router;

import com.google.protobuf.ByteString;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.almondslip.protocol.wire.AnswerHead;
import org.almondslip.protocol.wire.SuspectNotice;
import org.almondslip.routing.Outcome;
import org.almondslip.routing.RouterEffects;

/** Open exchanges with callers; passes effects from the decision thread to their event loop. */
final class Exchanges implements RouterEffects {

  /** Exchanges by the number of the caller. */
  private final Map<Long, Exchange> open = new ConcurrentHashMap<>();

  /** Number of the last caller. */
  private final AtomicLong lastCaller = new AtomicLong();

  /** Asks for more connections, on the decision thread. */
  private final Consumer<String> dialMore;

  /** Records a crash mark, on the decision thread. */
  private final Consumer<SuspectNotice> recordSuspect;

  /** Bodies that are being received. */
  private final ByteBudget incoming;

  /** Answers that callers have not read. */
  private final ByteBudget unread;

  /**
   * Creates an empty table.
   *
   * @param limits the limits of the API
   * @param dialMore asks for more connections
   * @param recordSuspect records a crash mark
   */
  Exchanges(CallerLimits limits, Consumer<String> dialMore, Consumer<SuspectNotice> recordSuspect) {
    this.incoming = new ByteBudget(limits.incomingBytes());
    this.unread = new ByteBudget(limits.answerBytes());
    this.dialMore = dialMore;
    this.recordSuspect = recordSuspect;
  }

  /**
   * Returns a number for a new exchange.
   *
   * @return the number, never used before in this process
   */
  long nextCaller() {
    return lastCaller.incrementAndGet();
  }

  /**
   * Adds an exchange.
   *
   * @param exchange the exchange
   */
  void add(Exchange exchange) {
    open.put(exchange.caller(), exchange);
  }

  /**
   * Removes an exchange that has ended.
   *
   * @param exchange the exchange
   */
  void remove(Exchange exchange) {
    open.remove(exchange.caller());
  }

  /**
   * Returns the number of open exchanges.
   *
   * @return the number
   */
  int size() {
    return open.size();
  }

  /**
   * Returns the bodies that are being received.
   *
   * @return the budget
   */
  ByteBudget incoming() {
    return incoming;
  }

  /**
   * Returns the answers that callers have not read.
   *
   * @return the budget
   */
  ByteBudget unread() {
    return unread;
  }

  /**
   * Ends exchanges whose callers read nothing for too long.
   *
   * @param now the current time, in milliseconds
   * @param limitMillis the longest time without progress, in milliseconds
   */
  void dropStalled(long now, long limitMillis) {
    open.values().forEach(exchange -> exchange.dropIfStalled(now, limitMillis));
  }

  /** Ends the exchange whose caller has the most unread bytes, to get below the limit. */
  void dropSlowest() {
    open.values().stream()
        .max(Comparator.comparingLong(Exchange::unreadBytes))
        .ifPresent(Exchange::drop);
  }

  @Override
  public void head(long caller, AnswerHead head) {
    find(caller).ifPresent(exchange -> exchange.run(() -> exchange.head(head)));
  }

  @Override
  public void data(long caller, ByteString data) {
    find(caller).ifPresent(exchange -> exchange.run(() -> exchange.data(data)));
  }

  @Override
  public void end(long caller, Outcome outcome) {
    find(caller).ifPresent(exchange -> exchange.run(() -> exchange.end(outcome)));
  }

  @Override
  public void dialMore(String pool) {
    dialMore.accept(pool);
  }

  @Override
  public void recordSuspect(SuspectNotice notice) {
    recordSuspect.accept(notice);
  }

  /**
   * Finds an exchange.
   *
   * @param caller the number of the caller
   * @return the exchange, or empty when it has ended
   */
  private Optional<Exchange> find(long caller) {
    return Optional.ofNullable(open.get(caller));
  }
}
