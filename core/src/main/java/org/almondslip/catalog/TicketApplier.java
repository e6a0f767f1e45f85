package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.almondslip.error.ErrorCode;
import org.almondslip.store.TableStore;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Applies tickets to the catalog at the table service.
 *
 * <p>All methods must be called on the thread on which the table store runs its callbacks.
 */
public final class TicketApplier {

  /**
   * Tickets that may be in progress at the same time; operators send a few hundred a day, so more
   * at once is a fault of a script.
   */
  static final int MAX_ATTEMPTS = 32;

  /** Access to the table service. */
  private final TableStore store;

  /** Catalog of this process, which receives the changes of applied tickets. */
  private final CatalogSync sync;

  /** Source of time. */
  private final Clock clock;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  /** Tickets in progress. */
  private final List<TicketAttempt> attempts = new ArrayList<>();

  /**
   * Creates an applier.
   *
   * @param store the access to the table service
   * @param sync the catalog of this process
   * @param clock the source of time
   * @param random the source of jitter
   */
  public TicketApplier(
      TableStore store, CatalogSync sync, Clock clock, UniformRandomProvider random) {
    this.store = store;
    this.sync = sync;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Applies a ticket.
   *
   * @param ticket the ticket
   * @param source the places of its fields, for findings
   * @param callback receives the outcome once
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

  /**
   * Continues the tickets whose next try is due; called at least ten times a second, or tickets
   * whose first try fails get no outcome.
   */
  public void onTick() {
    List.copyOf(attempts).forEach(TicketAttempt::onTick);
    attempts.removeIf(TicketAttempt::isFinished);
  }
}
