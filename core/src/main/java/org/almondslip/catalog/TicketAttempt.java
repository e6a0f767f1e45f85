package org.almondslip.catalog;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Findings;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;
import org.almondslip.store.TableStore.Condition;
import org.almondslip.store.TableStore.Outcome;
import org.almondslip.store.TableStore.Row;
import org.almondslip.store.TableStore.Transaction;
import org.almondslip.store.TableStore.Write;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Applies one ticket to the table service with optimistic concurrency control and retries.
 *
 * <p>Each try looks up the record of the ticket, reads the catalog and the versions of the affected
 * rows, and submits a transaction conditional on these versions. A transaction whose response is
 * lost may still be committed later. The next try either finds the record of the ticket or depends
 * on the absence of that record, so the ticket is applied at most once.
 */
final class TicketAttempt {

  /** Time after the first try within which retries start, in milliseconds. */
  static final long RETRY_TIMEOUT_MILLIS = 5_000;

  /** Minimum delay before a retry, in milliseconds. */
  private static final long MIN_RETRY_DELAY_MILLIS = 20;

  /** Upper bound of the random part of the delay before a retry, in milliseconds. */
  private static final long MAX_JITTER_MILLIS = 500;

  /** Affected objects up to which the rows are read one by one instead of by a scan of all rows. */
  private static final int MAX_POINT_READS = 16;

  private final Ticket ticket;

  /** Locations of the ticket's fields, for findings. */
  private final TicketSource source;

  private final TableStore store;

  /** Local catalog, which is updated once the ticket has been applied. */
  private final CatalogSync sync;

  private final Clock clock;

  /** Random source for retry jitter. */
  private final UniformRandomProvider random;

  private final Consumer<TicketResult> callback;

  private final CatalogLoader loader;

  /** Clock time in milliseconds after which no retry starts. */
  private final long deadline;

  /** Catalog that results if the last submitted transaction is committed. */
  private Catalog resultingCatalog = Catalog.EMPTY;

  /** Whether the outcome of any submitted transaction is unknown. */
  private boolean outcomeUnknown;

  /** Whether the callback has been called. */
  private boolean finished;

  /** Clock time of the next retry in milliseconds, empty while a try is in progress. */
  private Optional<Long> nextRetry = Optional.empty();

  /** Upper bound of the random part of the next delay, in milliseconds. */
  private long maxJitter = MIN_RETRY_DELAY_MILLIS;

  /**
   * Creates an attempt without starting it.
   *
   * @param ticket the ticket to apply
   * @param source the locations of the ticket's fields, for findings
   * @param store the client of the table service
   * @param sync the local catalog, updated once the ticket has been applied
   * @param clock the clock for delays and audit timestamps
   * @param random the random source for retry jitter
   * @param callback receives the outcome once
   */
  TicketAttempt(
      Ticket ticket,
      TicketSource source,
      TableStore store,
      CatalogSync sync,
      Clock clock,
      UniformRandomProvider random,
      Consumer<TicketResult> callback) {
    this.ticket = ticket;
    this.source = source;
    this.store = store;
    this.sync = sync;
    this.clock = clock;
    this.random = random;
    this.callback = callback;
    this.loader = new CatalogLoader(store);
    this.deadline = clock.millis() + RETRY_TIMEOUT_MILLIS;
  }

  /**
   * Returns whether the callback has been called.
   *
   * @return true once the outcome has been reported
   */
  boolean isFinished() {
    return finished;
  }

  /** Starts the next retry if it is due. */
  void onTick() {
    if (nextRetry.filter(time -> time <= clock.millis()).isPresent()) {
      nextRetry = Optional.empty();
      start();
    }
  }

  /** Starts a try by looking up the record of the ticket. */
  void start() {
    store.read(CatalogTables.TICKETS, ticket.recordKey(), this::onRecord);
  }

  /**
   * Reports success if the ticket is recorded as applied, and loads the catalog otherwise.
   *
   * @param result the record of the ticket, empty if the ticket has not been applied
   */
  private void onRecord(StoreResult<Optional<Row>> result) {
    if (!(result instanceof StoreResult.Success<Optional<Row>> success)) {
      retry(CatalogLoader.failureDetail(result));
    } else if (success.value().isPresent()) {
      long revision = CatalogTables.revisionOf(success.value().get());
      if (revision == resultingCatalog.revision()) {
        sync.onApplied(resultingCatalog);
      }
      finish(new TicketResult.Applied(revision, !outcomeUnknown));
    } else {
      loader.load(sync.catalog(), this::onCatalog);
    }
  }

  /**
   * Validates the ticket against the stored catalog and reports a conflict or findings.
   *
   * @param result the stored catalog
   */
  private void onCatalog(StoreResult<CatalogLoader.Loaded> result) {
    if (!(result instanceof StoreResult.Success<CatalogLoader.Loaded> success)) {
      retry(CatalogLoader.failureDetail(result));
      return;
    }
    Catalog current = success.value().catalog();
    List<VersionedObject> conflicting = ticket.conflictingObjects(current);
    Findings findings = new Findings();
    TicketValidator.validate(ticket, source, current, findings);
    if (!conflicting.isEmpty()
        && conflicting.size() == ticket.objects().size()
        && conflicting.stream().allMatch(this::matchesTicket)) {
      sync.onApplied(current);
      long revision = conflicting.stream().mapToLong(VersionedObject::revision).max().orElse(0);
      finish(new TicketResult.Applied(revision, !outcomeUnknown));
    } else if (!conflicting.isEmpty()) {
      finish(new TicketResult.Conflict(conflicting));
    } else if (!findings.isEmpty()) {
      finish(new TicketResult.Invalid(findings.toList()));
    } else {
      readVersions(success.value());
    }
  }

  /**
   * Returns whether a stored state equals the one that the ticket writes.
   *
   * @param state the stored state
   * @return true if ticket number and content are equal
   */
  private boolean matchesTicket(VersionedObject state) {
    return state.number() == ticket.number() && ticket.objects().contains(state.object());
  }

  /**
   * Reads the versions of the affected rows.
   *
   * @param loaded the catalog that the ticket was validated against
   */
  private void readVersions(CatalogLoader.Loaded loaded) {
    if (ticket.objects().size() > MAX_POINT_READS) {
      store.scan(CatalogTables.OBJECTS, "", result -> onRows(loaded, result));
    } else {
      readVersion(loaded, 0, new HashMap<>());
    }
  }

  /**
   * Extracts the versions from a scan of all rows and submits the transaction.
   *
   * @param loaded the catalog that the ticket was validated against
   * @param result the scanned rows
   */
  private void onRows(CatalogLoader.Loaded loaded, StoreResult<List<Row>> result) {
    if (!(result instanceof StoreResult.Success<List<Row>> success)) {
      retry(CatalogLoader.failureDetail(result));
      return;
    }
    Map<String, Long> versions = new HashMap<>();
    success.value().forEach(row -> versions.put(row.key(), row.version()));
    submit(loaded, versions);
  }

  /**
   * Reads the versions row by row and submits the transaction after the last one.
   *
   * @param loaded the catalog that the ticket was validated against
   * @param index the index in the ticket of the object whose row is read next
   * @param versions the versions read so far by object key
   */
  private void readVersion(CatalogLoader.Loaded loaded, int index, Map<String, Long> versions) {
    if (index == ticket.objects().size()) {
      submit(loaded, versions);
      return;
    }
    String key = ticket.objects().get(index).key();
    store.read(
        CatalogTables.OBJECTS,
        key,
        result -> {
          if (result instanceof StoreResult.Success<Optional<Row>> success) {
            versions.put(key, success.value().map(Row::version).orElse(0L));
            readVersion(loaded, index + 1, versions);
          } else {
            retry(CatalogLoader.failureDetail(result));
          }
        });
  }

  /**
   * Submits the transaction that applies the ticket.
   *
   * <p>Every ticket updates the revision row. The condition on its version therefore guarantees
   * that the validation and the comparison of ticket numbers still hold at commit time.
   *
   * @param loaded the catalog that the ticket was validated against
   * @param versions the versions of the affected rows by object key; absent rows have version 0
   */
  private void submit(CatalogLoader.Loaded loaded, Map<String, Long> versions) {
    long revision = loaded.catalog().revision() + 1;
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    conditions.add(
        new Condition(CatalogTables.STATE, CatalogTables.REVISION, loaded.revisionVersion()));
    conditions.add(new Condition(CatalogTables.TICKETS, ticket.recordKey(), 0));
    String revisionValue = CatalogTables.revisionValue(revision);
    writes.add(put(CatalogTables.STATE, CatalogTables.REVISION, revisionValue));
    writes.add(put(CatalogTables.TICKETS, ticket.recordKey(), revisionValue));
    List<VersionedObject> states = new ArrayList<>();
    for (CatalogObject object : ticket.objects()) {
      String key = object.key();
      conditions.add(new Condition(CatalogTables.OBJECTS, key, versions.getOrDefault(key, 0L)));
      VersionedObject state = new VersionedObject(object, ticket.number(), revision);
      states.add(state);
      writes.add(put(CatalogTables.OBJECTS, key, CatalogTables.objectValue(state)));
      String audit = CatalogTables.auditValue(auditEntry(object, revision, loaded.catalog()));
      writes.add(put(CatalogTables.AUDIT, CatalogTables.auditPrefix(revision) + key, audit));
    }
    resultingCatalog = loaded.catalog().merge(states, revision);
    store.transact(new Transaction(conditions, writes), outcome -> onOutcome(revision, outcome));
  }

  /**
   * Creates a write that inserts or replaces a row.
   *
   * @param table the table name
   * @param key the row key
   * @param value the new value
   * @return the write
   */
  private static Write put(String table, String key, String value) {
    return new Write(table, key, Optional.of(value));
  }

  /**
   * Creates the audit entry for the change of an object.
   *
   * @param object the new state of the object
   * @param revision the revision that the ticket creates
   * @param before the catalog before the change
   * @return the audit entry
   */
  private AuditEntry auditEntry(CatalogObject object, long revision, Catalog before) {
    return new AuditEntry(
        revision,
        ticket.number(),
        ticket.author(),
        ticket.note(),
        Instant.ofEpochMilli(clock.wallMillis()).toString(),
        object.kind().label(),
        object.name(),
        before
            .object(object.kind(), object.name())
            .map(state -> CatalogTables.json(state.object()))
            .orElse(null),
        CatalogTables.json(object));
  }

  /**
   * Reports success if the transaction was committed, and schedules a retry otherwise.
   *
   * @param revision the revision that the transaction creates
   * @param result the outcome of the transaction
   */
  private void onOutcome(long revision, StoreResult<Outcome> result) {
    if (result instanceof StoreResult.Success<Outcome> success) {
      if (success.value().applied()) {
        sync.onApplied(resultingCatalog);
        finish(new TicketResult.Applied(revision, false));
      } else {
        retry("other tickets were applied at the same time");
      }
      return;
    }
    outcomeUnknown |= result instanceof StoreResult.Unknown<Outcome>;
    retry(CatalogLoader.failureDetail(result));
  }

  /**
   * Schedules a retry with randomized exponential backoff, or reports a failure if it would start
   * after the deadline.
   *
   * @param failure the reason for the failure of this try
   */
  private void retry(String failure) {
    long delay = MIN_RETRY_DELAY_MILLIS + random.nextLong(maxJitter);
    maxJitter = Math.min(MAX_JITTER_MILLIS, maxJitter * 2);
    if (clock.millis() + delay <= deadline) {
      nextRetry = Optional.of(clock.millis() + delay);
    } else if (outcomeUnknown) {
      finish(
          new TicketResult.Failed(
              ErrorCode.OUTCOME_UNKNOWN,
              "the ticket may have been applied; send it again to learn it: " + failure));
    } else {
      finish(
          new TicketResult.Failed(
              ErrorCode.STORE_UNAVAILABLE, "the ticket has not been applied: " + failure));
    }
  }

  /**
   * Passes the outcome to the callback.
   *
   * @param result the outcome of the ticket
   */
  private void finish(TicketResult result) {
    finished = true;
    callback.accept(result);
  }
}
