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
 * One ticket on its way into the table service.
 *
 * <p>Each try reads whether the ticket is recorded, reads the catalog and the versions of the
 * touched rows, and writes on condition of these versions. A write whose answer is lost may still
 * take effect later. The next try writes on the same conditions or finds the record of the ticket,
 * so the ticket takes effect at most once.
 */
final class TicketAttempt {

  /** Time after which no further try starts, in milliseconds. */
  static final long LIMIT_MILLIS = 5_000;

  /** Shortest wait before the next try, in milliseconds. */
  private static final long MIN_WAIT_MILLIS = 20;

  /** Longest wait before the next try, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 500;

  /** Touched objects above which all rows are scanned instead of read one by one. */
  private static final int SINGLE_READ_LIMIT = 16;

  /** Ticket to apply. */
  private final Ticket ticket;

  /** Places of the ticket's fields. */
  private final TicketSource source;

  /** Access to the table service. */
  private final TableStore store;

  /** Catalog of this process, which receives the changes of an applied ticket. */
  private final CatalogSync sync;

  /** Source of time. */
  private final Clock clock;

  /** Source of jitter. */
  private final UniformRandomProvider random;

  /** Receiver of the outcome. */
  private final Consumer<TicketResult> callback;

  /** Reader of the catalog. */
  private final CatalogLoader loader;

  /** Time after which no further try starts. */
  private final long deadline;

  /** Catalog as the last write would leave it. */
  private Catalog written = Catalog.EMPTY;

  /** Whether a write has been sent whose outcome is not known. */
  private boolean unknownWrite;

  /** Whether the outcome has been reported. */
  private boolean finished;

  /** Time of the next try, empty while calls are outstanding. */
  private Optional<Long> nextTry = Optional.empty();

  /** Upper limit of the next wait, in milliseconds. */
  private long wait = MIN_WAIT_MILLIS;

  /**
   * Creates an attempt that has not started.
   *
   * @param ticket the ticket to apply
   * @param source the places of the ticket's fields
   * @param store the access to the table service
   * @param sync the catalog of this process
   * @param clock the source of time
   * @param random the source of jitter
   * @param callback the receiver of the outcome
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
    this.deadline = clock.millis() + LIMIT_MILLIS;
  }

  /**
   * Returns whether the outcome has been reported.
   *
   * @return true when nothing is left to do
   */
  boolean isFinished() {
    return finished;
  }

  /** Starts the next try if it is due. */
  void onTick() {
    if (nextTry.filter(time -> time <= clock.millis()).isPresent()) {
      nextTry = Optional.empty();
      start();
    }
  }

  /** Reads whether the ticket has been applied already. */
  void start() {
    store.read(CatalogTables.TICKETS, ticket.recordKey(), this::onRecord);
  }

  /**
   * Handles the record of the ticket.
   *
   * @param result the row, empty when the ticket has not been applied
   */
  private void onRecord(StoreResult<Optional<Row>> result) {
    if (!(result instanceof StoreResult.Success<Optional<Row>> success)) {
      retry(CatalogLoader.detailOf(result));
    } else if (success.value().isPresent()) {
      long revision = CatalogTables.revisionOf(success.value().get());
      if (revision == written.revision()) {
        sync.onApplied(written);
      }
      finish(new TicketResult.Applied(revision, !unknownWrite));
    } else {
      loader.load(sync.catalog(), this::onCatalog);
    }
  }

  /**
   * Checks the ticket against the catalog as the table service holds it.
   *
   * @param result the catalog
   */
  private void onCatalog(StoreResult<CatalogLoader.Loaded> result) {
    if (!(result instanceof StoreResult.Success<CatalogLoader.Loaded> success)) {
      retry(CatalogLoader.detailOf(result));
      return;
    }
    Catalog current = success.value().catalog();
    List<VersionedObject> conflicting = ticket.conflictingObjects(current);
    Findings findings = new Findings();
    TicketValidator.validate(ticket, source, current, findings);
    if (!conflicting.isEmpty()
        && conflicting.size() == ticket.objects().size()
        && conflicting.stream().allMatch(this::isOwn)) {
      sync.onApplied(current);
      long revision = conflicting.stream().mapToLong(VersionedObject::revision).max().orElse(0);
      finish(new TicketResult.Applied(revision, !unknownWrite));
    } else if (!conflicting.isEmpty()) {
      finish(new TicketResult.Conflict(conflicting));
    } else if (!findings.isEmpty()) {
      finish(new TicketResult.Invalid(findings.toList()));
    } else {
      readVersions(success.value());
    }
  }

  /**
   * Returns whether a stored state is what the ticket would write.
   *
   * @param state the stored state
   * @return true when number and content are the same
   */
  private boolean isOwn(VersionedObject state) {
    return state.number() == ticket.number() && ticket.objects().contains(state.object());
  }

  /**
   * Reads the versions of the touched rows.
   *
   * @param loaded the catalog that the ticket has been checked against
   */
  private void readVersions(CatalogLoader.Loaded loaded) {
    if (ticket.objects().size() > SINGLE_READ_LIMIT) {
      store.scan(CatalogTables.OBJECTS, "", result -> onRows(loaded, result));
    } else {
      readVersion(loaded, 0, new HashMap<>());
    }
  }

  /**
   * Takes the versions from a scan of all rows.
   *
   * @param loaded the catalog that the ticket has been checked against
   * @param result the rows
   */
  private void onRows(CatalogLoader.Loaded loaded, StoreResult<List<Row>> result) {
    if (!(result instanceof StoreResult.Success<List<Row>> success)) {
      retry(CatalogLoader.detailOf(result));
      return;
    }
    Map<String, Long> versions = new HashMap<>();
    success.value().forEach(row -> versions.put(row.key(), row.version()));
    write(loaded, versions);
  }

  /**
   * Reads the versions one row after the other.
   *
   * @param loaded the catalog that the ticket has been checked against
   * @param index the position of the object whose row is read next
   * @param versions the versions read so far
   */
  private void readVersion(CatalogLoader.Loaded loaded, int index, Map<String, Long> versions) {
    if (index == ticket.objects().size()) {
      write(loaded, versions);
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
            retry(CatalogLoader.detailOf(result));
          }
        });
  }

  /**
   * Sends the transaction.
   *
   * <p>The condition on the revision's row makes the check of the ticket and of the stored numbers
   * hold at the moment of the write, because every ticket changes that row.
   *
   * @param loaded the catalog that the ticket has been checked against
   * @param versions the versions of the touched rows
   */
  private void write(CatalogLoader.Loaded loaded, Map<String, Long> versions) {
    long revision = loaded.catalog().revision() + 1;
    List<Condition> conditions = new ArrayList<>();
    List<Write> writes = new ArrayList<>();
    conditions.add(
        new Condition(CatalogTables.STATE, CatalogTables.REVISION, loaded.revisionVersion()));
    conditions.add(new Condition(CatalogTables.TICKETS, ticket.recordKey(), 0));
    String revisionValue = CatalogTables.revisionValue(revision);
    writes.add(write(CatalogTables.STATE, CatalogTables.REVISION, revisionValue));
    writes.add(write(CatalogTables.TICKETS, ticket.recordKey(), revisionValue));
    List<VersionedObject> states = new ArrayList<>();
    for (CatalogObject object : ticket.objects()) {
      String key = object.key();
      conditions.add(new Condition(CatalogTables.OBJECTS, key, versions.getOrDefault(key, 0L)));
      VersionedObject state = new VersionedObject(object, ticket.number(), revision);
      states.add(state);
      writes.add(write(CatalogTables.OBJECTS, key, CatalogTables.objectValue(state)));
      String audit = CatalogTables.auditValue(audit(object, revision, loaded.catalog()));
      writes.add(write(CatalogTables.AUDIT, CatalogTables.auditPrefix(revision) + key, audit));
    }
    written = loaded.catalog().merge(states, revision);
    store.transact(new Transaction(conditions, writes), outcome -> onOutcome(revision, outcome));
  }

  /**
   * Creates the write of a row.
   *
   * @param table the table
   * @param key the key
   * @param value the value
   * @return the write
   */
  private static Write write(String table, String key, String value) {
    return new Write(table, key, Optional.of(value));
  }

  /**
   * Creates the audit entry of an object.
   *
   * @param object the object
   * @param revision the revision that the ticket creates
   * @param before the catalog before
   * @return the entry
   */
  private AuditEntry audit(CatalogObject object, long revision, Catalog before) {
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
   * Handles the outcome of the transaction.
   *
   * @param revision the revision that it creates
   * @param result the outcome
   */
  private void onOutcome(long revision, StoreResult<Outcome> result) {
    if (result instanceof StoreResult.Success<Outcome> success) {
      if (success.value().applied()) {
        sync.onApplied(written);
        finish(new TicketResult.Applied(revision, false));
      } else {
        retry("other tickets were applied at the same time");
      }
      return;
    }
    unknownWrite |= result instanceof StoreResult.Unknown<Outcome>;
    retry(CatalogLoader.detailOf(result));
  }

  /**
   * Plans the next try, or reports a failure when the time is up.
   *
   * @param failure why this try failed
   */
  private void retry(String failure) {
    long pause = MIN_WAIT_MILLIS + random.nextLong(wait);
    wait = Math.min(MAX_WAIT_MILLIS, wait * 2);
    if (clock.millis() + pause <= deadline) {
      nextTry = Optional.of(clock.millis() + pause);
    } else if (unknownWrite) {
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
   * Reports the outcome.
   *
   * @param result the outcome
   */
  private void finish(TicketResult result) {
    finished = true;
    callback.accept(result);
  }
}
