package org.almondslip.catalog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.almondslip.catalog.CatalogObject.ApiKey;
import org.almondslip.catalog.CatalogObject.Organisation;
import org.almondslip.catalog.CatalogObject.Share;
import org.almondslip.catalog.CatalogObject.Target;
import org.almondslip.error.Findings;

/** Validates a ticket against the catalog to which it is to be applied. */
public final class TicketValidator {

  /**
   * Valid names of objects and pools. A slash is not allowed because it separates the parts of keys
   * and flow names.
   */
  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}");

  /** SHA-256 hash in lower-case hex. */
  private static final Pattern SHA_256_PATTERN = Pattern.compile("[0-9a-f]{64}");

  /** Maximum weight. Accounts divide microseconds by the weight, so higher ones lose precision. */
  private static final int MAX_WEIGHT = 10_000;

  /** Maximum number of slots of a target. */
  private static final int MAX_SLOTS = 10_000;

  private final Ticket ticket;

  /** Locations of the ticket's fields, for findings. */
  private final TicketSource source;

  /** Catalog that results from the ticket. */
  private final Catalog after;

  /** Collector of validation errors. */
  private final Findings findings;

  /** Names of all pools in the resulting catalog. */
  private final Set<String> pools = new TreeSet<>();

  /**
   * Creates a validator.
   *
   * @param ticket the ticket to validate
   * @param source the locations of its fields
   * @param before the catalog to which it is to be applied
   * @param findings the collector to which validation errors are added
   */
  private TicketValidator(Ticket ticket, TicketSource source, Catalog before, Findings findings) {
    this.ticket = ticket;
    this.source = source;
    this.findings = findings;
    this.after = before.merge(toStates(ticket), before.revision() + 1);
    for (VersionedObject state : after.all()) {
      if (state.object() instanceof Target target && target.pool() != null) {
        pools.add(target.pool());
      }
    }
  }

  /**
   * Validates a ticket and reports all errors together.
   *
   * @param ticket the ticket to validate
   * @param source the locations of its fields
   * @param before the catalog to which it is to be applied
   * @param findings the collector to which validation errors are added
   */
  public static void validate(
      Ticket ticket, TicketSource source, Catalog before, Findings findings) {
    new TicketValidator(ticket, source, before, findings).run();
  }

  /**
   * Converts the objects of a ticket to states that supersede any stored state.
   *
   * @param ticket the ticket
   * @return the states
   */
  private static List<VersionedObject> toStates(Ticket ticket) {
    List<VersionedObject> states = new ArrayList<>();
    ticket.objects().forEach(object -> states.add(new VersionedObject(object, Long.MAX_VALUE, 0)));
    return states;
  }

  /** Validates the ticket and all of its objects. */
  private void run() {
    if (ticket.number() < 1) {
      addFinding(TicketSource.TICKET, "number", "must be at least 1");
    }
    if (ticket.author().isBlank()) {
      addFinding(TicketSource.TICKET, "author", "is required");
    }
    if (ticket.objects().isEmpty()) {
      addFinding(TicketSource.TICKET, "objects", "must name at least one object");
    }
    checkDuplicates();
    for (int index = 0; index < ticket.objects().size(); index++) {
      checkObject(index, ticket.objects().get(index));
    }
    checkFlowIds();
  }

  /** Reports objects that the ticket contains more than once. */
  private void checkDuplicates() {
    Set<String> seen = new HashSet<>();
    for (int index = 0; index < ticket.objects().size(); index++) {
      String key = ticket.objects().get(index).key();
      if (!seen.add(key)) {
        addFinding(index, "name", "the ticket has " + key + " more than once");
      }
    }
  }

  /**
   * Validates an object.
   *
   * @param index the index of the object in the ticket
   * @param object the object
   */
  private void checkObject(int index, CatalogObject object) {
    checkName(index, "name", object.name());
    if (object instanceof Organisation organisation) {
      checkReach(index, organisation);
    } else if (object instanceof Share share) {
      checkRange(index, "weight", share.weight(), MAX_WEIGHT);
      checkOrganisation(index, "name", share.name());
    } else if (object instanceof Target target) {
      checkTarget(index, target);
    } else if (object instanceof ApiKey key) {
      checkKey(index, key);
    }
  }

  /**
   * Validates the reach of an organisation.
   *
   * @param index the index of the object in the ticket
   * @param organisation the organisation
   */
  private void checkReach(int index, Organisation organisation) {
    Set<String> seen = new HashSet<>();
    for (String name : organisation.reach()) {
      if (!seen.add(name)) {
        addFinding(index, "reach", "has '" + name + "' more than once");
      } else if (!pools.contains(name) && after.target(name).isEmpty()) {
        addFinding(index, "reach", "there is no target or pool '" + name + "'");
      }
    }
  }

  /**
   * Validates a target and the consistency of its pool.
   *
   * @param index the index of the object in the ticket
   * @param target the target
   */
  private void checkTarget(int index, Target target) {
    checkName(index, "pool", target.pool());
    checkRange(index, "slots", target.slots(), MAX_SLOTS);
    if (pools.contains(target.name()) && !target.name().equals(target.pool())) {
      addFinding(index, "name", "is also the name of a pool, so a reach would be ambiguous");
    }
    if (after
        .target(target.pool())
        .filter(other -> !other.pool().equals(target.pool()))
        .isPresent()) {
      addFinding(index, "pool", "is also the name of a target, so a reach would be ambiguous");
    }
    for (String other : after.targetsInPool(target.pool())) {
      if (after.target(other).filter(found -> found.type() != target.type()).isPresent()) {
        addFinding(index, "type", "differs from target '" + other + "' of the same pool");
        return;
      }
    }
  }

  /**
   * Validates an API key.
   *
   * @param index the index of the object in the ticket
   * @param key the key
   */
  private void checkKey(int index, ApiKey key) {
    checkOrganisation(index, "organisation", key.organisation());
    if (key.sha256() == null || !SHA_256_PATTERN.matcher(key.sha256()).matches()) {
      addFinding(
          index, "sha256", "must be the SHA-256 hash of the secret, 64 lower-case hex digits");
      return;
    }
    for (VersionedObject state : after.all()) {
      if (state.object() instanceof ApiKey other
          && !other.name().equals(key.name())
          && key.sha256().equals(other.sha256())) {
        addFinding(index, "sha256", "is also the hash of key '" + other.name() + "'");
      }
    }
  }

  /**
   * Reports an unknown organisation.
   *
   * @param index the index of the object in the ticket
   * @param field the field that refers to the organisation
   * @param name the name of the organisation, null if missing
   */
  private void checkOrganisation(int index, String field, String name) {
    if (name == null || after.object(Kind.ORGANISATION, name).isEmpty()) {
      addFinding(index, field, "there is no organisation '" + name + "'");
    }
  }

  /**
   * Reports an invalid name of an object or pool.
   *
   * @param index the index of the object in the ticket
   * @param field the field
   * @param name the name, null if missing
   */
  private void checkName(int index, String field, String name) {
    if (name == null || !NAME_PATTERN.matcher(name).matches()) {
      addFinding(
          index,
          field,
          "must be 1 to 100 letters, digits, '.', '_', ':' or '-', not '" + name + "'");
    }
  }

  /**
   * Reports a value outside the range from 1 to a maximum.
   *
   * @param index the index of the object in the ticket
   * @param field the field
   * @param value the value
   * @param max the maximum, inclusive
   */
  private void checkRange(int index, String field, int value, int max) {
    if (value < 1 || value > max) {
      addFinding(index, field, "must be from 1 to " + max + ", not " + value);
    }
  }

  /**
   * Reports collisions of flow identifiers.
   *
   * <p>All pairs of an organisation and a pool are checked, so that a later change of a reach
   * cannot cause a collision.
   */
  private void checkFlowIds() {
    Map<Integer, Flow> flows = new HashMap<>();
    for (VersionedObject state : after.all()) {
      if (state.object() instanceof Organisation organisation) {
        pools.forEach(pool -> checkFlowId(flows, Flow.of(organisation.name(), pool, 1)));
      }
    }
  }

  /**
   * Reports a flow whose identifier collides with that of another flow.
   *
   * @param flows the flows checked so far by identifier
   * @param flow the flow to check
   */
  private void checkFlowId(Map<Integer, Flow> flows, Flow flow) {
    Flow other = flows.putIfAbsent(flow.id(), flow);
    if (other == null) {
      return;
    }
    for (int index = 0; index < ticket.objects().size(); index++) {
      if (belongsToEither(ticket.objects().get(index), flow, other)) {
        addFinding(
            index,
            "name",
            "flow "
                + flow.organisation()
                + "/"
                + flow.pool()
                + " has the same flow id as "
                + other.organisation()
                + "/"
                + other.pool()
                + "; choose another name");
        return;
      }
    }
  }

  /**
   * Returns whether an object belongs to one of two flows.
   *
   * @param object the object
   * @param flow the first flow
   * @param other the second flow
   * @return true if the object is the organisation or a target of one of the flows
   */
  private static boolean belongsToEither(CatalogObject object, Flow flow, Flow other) {
    if (object instanceof Organisation organisation) {
      return organisation.name().equals(flow.organisation())
          || organisation.name().equals(other.organisation());
    }
    return object instanceof Target target
        && (target.pool().equals(flow.pool()) || target.pool().equals(other.pool()));
  }

  /**
   * Adds a finding.
   *
   * @param index the index of the object in the ticket, or {@link TicketSource#TICKET}
   * @param field the field
   * @param message the error and the expected value
   */
  private void addFinding(int index, String field, String message) {
    findings.add(source.finding(index, field, message));
  }
}
