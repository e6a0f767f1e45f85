package org.almondslip.router.admin;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.almondslip.catalog.AuditEntry;

/**
 * Which audit entries an operator wants.
 *
 * @param before only revisions below this one
 * @param limit the number of entries
 * @param kind only objects of this kind, empty for all
 * @param name only objects with this name, empty for all
 */
record AuditQuery(long before, int limit, String kind, String name) {

  /** Number of entries when the request gives none. */
  private static final int DEFAULT_LIMIT = 50;

  /** Largest number of entries of one answer. */
  private static final int MAX_LIMIT = 1_000;

  /**
   * Reads the parameters of a request.
   *
   * @param request the request
   * @return the query
   * @throws NumberFormatException when a number cannot be read
   */
  static AuditQuery of(HttpServerRequest request) {
    long before = Long.parseLong(parameter(request, "before", String.valueOf(Long.MAX_VALUE)));
    int limit = Integer.parseInt(parameter(request, "limit", String.valueOf(DEFAULT_LIMIT)));
    return new AuditQuery(
        before,
        Math.max(1, Math.min(MAX_LIMIT, limit)),
        parameter(request, "kind", ""),
        parameter(request, "name", ""));
  }

  /**
   * Returns whether an entry is wanted.
   *
   * @param entry the entry
   * @return true when it matches all parts of the query
   */
  boolean matches(AuditEntry entry) {
    return entry.revision() < before
        && (kind.isEmpty() || kind.equals(entry.kind()))
        && (name.isEmpty() || name.equals(entry.name()));
  }

  /**
   * Reads a parameter.
   *
   * @param request the request
   * @param key the name of the parameter
   * @param fallback the value when it is missing
   * @return the value
   */
  private static String parameter(HttpServerRequest request, String key, String fallback) {
    return Optional.ofNullable(request.getParam(key)).orElse(fallback);
  }
}
