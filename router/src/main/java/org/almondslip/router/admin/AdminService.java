package org.almondslip.router.admin;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.almondslip.catalog.AuditEntry;
import org.almondslip.catalog.Catalog;
import org.almondslip.catalog.CatalogSync;
import org.almondslip.catalog.Kind;
import org.almondslip.catalog.TicketApplier;
import org.almondslip.catalog.TicketResult;
import org.almondslip.catalog.TicketValidator;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Findings;
import org.almondslip.settings.ParsedTicket;
import org.almondslip.settings.TicketParser;
import org.almondslip.store.StoreResult;
import org.almondslip.store.TableStore;

/** Operations of the operators' interface; those that touch decision logic run on its thread. */
public final class AdminService {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Runs actions on the decision thread. */
  private final Executor decision;

  /** Applies tickets. */
  private final TicketApplier applier;

  /** Catalog of this process. */
  private final CatalogSync sync;

  /** Access to the table service, with callbacks on the decision thread. */
  private final TableStore store;

  /** Status of this process; called on the decision thread. */
  private final Supplier<JsonObject> status;

  /**
   * Creates the operations.
   *
   * @param decision runs actions on the decision thread
   * @param applier applies tickets
   * @param sync the catalog of this process
   * @param store the access to the table service, with callbacks on the decision thread
   * @param status the status of this process; called on the decision thread
   */
  public AdminService(
      Executor decision,
      TicketApplier applier,
      CatalogSync sync,
      TableStore store,
      Supplier<JsonObject> status) {
    this.decision = decision;
    this.applier = applier;
    this.sync = sync;
    this.store = store;
    this.status = status;
  }

  /**
   * Applies a ticket.
   *
   * @param file the name of the file, for findings
   * @param text the text of the ticket
   * @param reply the reply
   */
  void apply(String file, String text, AdminReply reply) {
    parse(file, text, reply)
        .ifPresent(
            parsed ->
                decision.execute(
                    () ->
                        applier.apply(
                            parsed.ticket(),
                            parsed.source(),
                            result -> onResult(parsed, result, reply))));
  }

  /**
   * Answers with the outcome of a ticket and announces an applied one.
   *
   * @param parsed the ticket
   * @param result the outcome
   * @param reply the reply
   */
  private void onResult(ParsedTicket parsed, TicketResult result, AdminReply reply) {
    logger.atInfo().log(
        "ticket %d of %s: %s",
        parsed.ticket().number(), parsed.ticket().author(), result.getClass().getSimpleName());
    if (result instanceof TicketResult.Applied) {
      sync.onStoreChanged();
      reply.ok(AdminDocuments.outcome(result));
    } else {
      reply.problem(AdminDocuments.outcome(result));
    }
  }

  /**
   * Checks a ticket against the catalog of this process without applying it.
   *
   * @param file the name of the file, for findings
   * @param text the text of the ticket
   * @param reply the reply
   */
  void validate(String file, String text, AdminReply reply) {
    parse(file, text, reply)
        .ifPresent(
            parsed -> {
              Catalog catalog = sync.catalog();
              Findings findings = new Findings();
              TicketValidator.validate(parsed.ticket(), parsed.source(), catalog, findings);
              if (findings.isEmpty()) {
                List<VersionedObject> standing = parsed.ticket().conflictingObjects(catalog);
                reply.ok(
                    new JsonObject()
                        .put("revision", catalog.revision())
                        .put("standing", AdminDocuments.states(standing)));
              } else {
                reply.problem(AdminDocuments.invalid(findings.toList()));
              }
            });
  }

  /**
   * Answers with an object of the catalog.
   *
   * @param label the kind
   * @param name the name
   * @param reply the reply
   */
  void show(String label, String name, AdminReply reply) {
    Optional<VersionedObject> state =
        Kind.ofLabel(label).flatMap(kind -> sync.catalog().object(kind, name));
    if (state.isPresent()) {
      reply.ok(AdminDocuments.state(state.get()));
    } else {
      reply.problem(ErrorCode.NOT_FOUND, "there is no " + label + " '" + name + "'");
    }
  }

  /**
   * Answers with all objects of a kind.
   *
   * @param label the kind
   * @param reply the reply
   */
  void list(String label, AdminReply reply) {
    Optional<Kind> kind = Kind.ofLabel(label);
    if (kind.isEmpty()) {
      reply.problem(ErrorCode.NOT_FOUND, "there is no kind '" + label + "'");
      return;
    }
    List<VersionedObject> states =
        sync.catalog().all().stream()
            .filter(state -> state.object().kind() == kind.get())
            .sorted(Comparator.comparing(state -> state.object().name()))
            .toList();
    reply.ok(new JsonObject().put("objects", AdminDocuments.states(states)));
  }

  /**
   * Answers with the status of this process.
   *
   * @param reply the reply
   */
  void status(AdminReply reply) {
    decision.execute(
        () ->
            reply.ok(
                status
                    .get()
                    .put("catalog_revision", sync.catalog().revision())
                    .put("catalog_ready", sync.isReady())));
  }

  /**
   * Answers with audit entries, the newest first.
   *
   * @param query which entries are wanted
   * @param reply the reply
   */
  void audit(AuditQuery query, AdminReply reply) {
    long newest = Math.min(query.before() - 1, sync.catalog().revision());
    decision.execute(
        () ->
            new AuditReader(store, query.limit(), query::matches, result -> onAudit(result, reply))
                .read(newest));
  }

  /**
   * Answers with audit entries.
   *
   * @param result the entries
   * @param reply the reply
   */
  private static void onAudit(StoreResult<List<AuditEntry>> result, AdminReply reply) {
    if (result instanceof StoreResult.Success<List<AuditEntry>> success) {
      JsonArray entries = AdminDocuments.audit(success.value());
      reply.ok(new JsonObject().put("entries", entries));
    } else {
      reply.problem(ErrorCode.STORE_UNAVAILABLE, "the audit entries cannot be read now");
    }
  }

  /**
   * Reads a ticket; findings are answered at once.
   *
   * @param file the name of the file, for findings
   * @param text the text of the ticket
   * @param reply the reply
   * @return the ticket, or empty when it has findings
   */
  private static Optional<ParsedTicket> parse(String file, String text, AdminReply reply) {
    Findings findings = new Findings();
    Optional<ParsedTicket> parsed = TicketParser.parse(file, text, findings);
    if (parsed.isEmpty()) {
      reply.problem(AdminDocuments.invalid(findings.toList()));
    }
    return parsed;
  }
}
