package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.almondslip.error.ErrorCode;
import org.almondslip.store.TableStore;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Applies tickets to the catalog in the table service.
 *
 * <p>All methods must be called on the thread on which the table store runs its callbacks.
 */
public final class TicketApplier {

  /**
   * Maximum number of tickets in progress. Operators submit a few hundred a day, so a higher number
   * indicates a faulty script.
   */
  static final int MAX_ATTEMPTS = 32;

  private final TableStore store;

  /** Local catalog, which is updated once a ticket has been applied. */
  private final CatalogSync sync;

  private final Clock clock;

  /** Random source for retry jitter. */
  private final UniformRandomProvider random;

  /** Tickets in progress. */
  private final List<TicketAttempt> attempts = new ArrayList<>();

  /**
   * Creates an applier and registers it with the local catalog, which drives its retries.
   *
   * @param store the client of the table service
   * @param sync the local catalog, updated once a ticket has been applied
   * @param clock the clock for delays and audit timestamps
   * @param random the random source for retry jitter
   */
  public TicketApplier(
      TableStore store, CatalogSync sync, Clock clock, UniformRandomProvider random) {
    this.store = store;
    this.sync = sync;
    this.clock = clock;
    this.random = random;
    sync.register(this);
  }

  /**
   * Applies a ticket. It fails with {@link ErrorCode#ROUTER_OVERLOADED} if too many tickets are in
   * progress.
   *
   * @param ticket the ticket to apply
   * @param source the locations of its fields, for findings
   * @param callback receives the outcome once, possibly before this method returns
   */
  public void apply(Ticket ticket, TicketSource source, Consumer<TicketResult> callback) {
    if (attempts.size() >= MAX_ATTEMPTS) {
      callback.accept(
          new TicketResult.Failed(
              ErrorCode.ROUTER_OVERLOADED, "too many tickets are being applied; nothing changed"));
      return;
    }
    TicketAttempt attempt = new TicketAttempt(ticket, source, store, sync, clock, random, callback);
    attempts.add(attempt);
    attempt.start();
    attempts.removeIf(TicketAttempt::isFinished);
  }

  /** Starts the due retries of the tickets in progress. */
  void onTick() {
    List.copyOf(attempts).forEach(TicketAttempt::onTick);
    attempts.removeIf(TicketAttempt::isFinished);
  }
}
