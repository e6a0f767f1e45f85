package org.almondslip.router.admin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.almondslip.catalog.AuditEntry;
import org.almondslip.catalog.Kind;
import org.almondslip.catalog.TicketResult;
import org.almondslip.catalog.VersionedObject;
import org.almondslip.error.ErrorCode;
import org.almondslip.error.Finding;

/** JSON documents of the operators' interface. */
final class AdminDocuments {

  /** Not instantiable. */
  private AdminDocuments() {}

  /**
   * Builds a problem document.
   *
   * @param code the code of the error
   * @param detail what happened
   * @return the document
   */
  static JsonObject problem(ErrorCode code, String detail) {
    return new JsonObject()
        .put("type", "about:blank")
        .put("title", code.title())
        .put("status", code.status())
        .put("code", code.label())
        .put("detail", detail);
  }

  /**
   * Builds the document for the outcome of a ticket.
   *
   * @param result the outcome
   * @return a problem document, or the revision of a success
   */
  static JsonObject outcome(TicketResult result) {
    if (result instanceof TicketResult.Applied applied) {
      return new JsonObject()
          .put("revision", applied.revision())
          .put("repeated", applied.repeated());
    }
    if (result instanceof TicketResult.Conflict conflict) {
      String detail =
          conflict.conflictingObjects().size()
              + " object(s) have an equal or higher number; nothing changed";
      return problem(ErrorCode.TICKET_CONFLICT, detail)
          .put("standing", states(conflict.conflictingObjects()));
    }
    if (result instanceof TicketResult.Invalid invalid) {
      return invalid(invalid.findings());
    }
    TicketResult.Failed failed = (TicketResult.Failed) result;
    return problem(failed.code(), failed.detail());
  }

  /**
   * Builds the problem document for a ticket with findings.
   *
   * @param findings the findings
   * @return the document
   */
  static JsonObject invalid(List<Finding> findings) {
    return problem(ErrorCode.TICKET_INVALID, findings.size() + " finding(s); nothing changed")
        .put("findings", findings(findings));
  }

  /**
   * Builds a list of findings.
   *
   * @param findings the findings
   * @return the list
   */
  static JsonArray findings(List<Finding> findings) {
    JsonArray list = new JsonArray();
    for (Finding finding : findings) {
      list.add(
          new JsonObject()
              .put("file", finding.file())
              .put("line", finding.line())
              .put("field", finding.field())
              .put("message", finding.message()));
    }
    return list;
  }

  /**
   * Builds a list of objects.
   *
   * @param states the objects
   * @return the list
   */
  static JsonArray states(List<VersionedObject> states) {
    JsonArray list = new JsonArray();
    states.forEach(state -> list.add(state(state)));
    return list;
  }

  /**
   * Builds the document of an object.
   *
   * @param state the object
   * @return the document
   */
  static JsonObject state(VersionedObject state) {
    return new JsonObject()
        .put("kind", state.object().kind().label())
        .put("name", state.object().name())
        .put("number", state.number())
        .put("revision", state.revision())
        .put("object", new JsonObject(Kind.toJson(state.object())));
  }

  /**
   * Builds a list of audit entries.
   *
   * @param entries the entries
   * @return the list
   */
  static JsonArray audit(List<AuditEntry> entries) {
    JsonArray list = new JsonArray();
    for (AuditEntry entry : entries) {
      JsonObject json =
          new JsonObject()
              .put("revision", entry.revision())
              .put("number", entry.number())
              .put("author", entry.author())
              .put("note", entry.note())
              .put("at", entry.at())
              .put("kind", entry.kind())
              .put("name", entry.name());
      if (entry.before() != null) {
        json.put("before", new JsonObject(entry.before().toString()));
      }
      list.add(json.put("after", new JsonObject(entry.after().toString())));
    }
    return list;
  }
}
