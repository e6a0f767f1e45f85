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

/** Checks a ticket against the catalog that it would change. */
public final class TicketValidator {

  /**
   * Names allowed for objects and pools. A slash separates the parts of keys and flow names, so it
   * is excluded.
   */
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}");

  /** Hash of an API key. */
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

  /** Largest weight; accounts divide microseconds by it, so larger ones would lose precision. */
  private static final int MAX_WEIGHT = 10_000;

  /** Largest number of slots of a target. */
  private static final int MAX_SLOTS = 10_000;

  /** Ticket to check. */
  private final Ticket ticket;

  /** Places of the ticket's fields. */
  private final TicketSource source;

  /** Catalog as it would be with the ticket. */
  private final Catalog after;

  /** Receiver of findings. */
  private final Findings findings;

  /** Names of all pools after the ticket. */
  private final Set<String> pools = new TreeSet<>();

  /**
   * Creates a validator.
   *
   * @param ticket the ticket to check
   * @param source the places of its fields
   * @param before the catalog that it would change
   * @param findings the receiver of findings
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
   * Checks a ticket.
   *
   * @param ticket the ticket
   * @param source the places of its fields
   * @param before the catalog that it would change
   * @param findings the receiver of findings
   */
  public static void validate(
      Ticket ticket, TicketSource source, Catalog before, Findings findings) {
    new TicketValidator(ticket, source, before, findings).run();
  }

  /**
   * Converts a ticket's objects to states that replace any other.
   *
   * @param ticket the ticket
   * @return the states
   */
  private static List<VersionedObject> toStates(Ticket ticket) {
    List<VersionedObject> states = new ArrayList<>();
    ticket.objects().forEach(object -> states.add(new VersionedObject(object, Long.MAX_VALUE, 0)));
    return states;
  }

  /** Checks the ticket and all of its objects. */
  private void run() {
    if (ticket.number() < 1) {
      report(TicketSource.TICKET, "number", "must be at least 1");
    }
    if (ticket.author().isBlank()) {
      report(TicketSource.TICKET, "author", "is required");
    }
    if (ticket.objects().isEmpty()) {
      report(TicketSource.TICKET, "objects", "must name at least one object");
    }
    checkDuplicates();
    for (int index = 0; index < ticket.objects().size(); index++) {
      checkObject(index, ticket.objects().get(index));
    }
    checkFlowIds();
  }

  /** Reports objects that the ticket gives more than once. */
  private void checkDuplicates() {
    Set<String> seen = new HashSet<>();
    for (int index = 0; index < ticket.objects().size(); index++) {
      String key = ticket.objects().get(index).key();
      if (!seen.add(key)) {
        report(index, "name", "the ticket has " + key + " more than once");
      }
    }
  }

  /**
   * Checks one object.
   *
   * @param index the position of the object
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
   * Checks what an organisation may reach.
   *
   * @param index the position of the object
   * @param organisation the organisation
   */
  private void checkReach(int index, Organisation organisation) {
    Set<String> seen = new HashSet<>();
    for (String name : organisation.reach()) {
      if (!seen.add(name)) {
        report(index, "reach", "has '" + name + "' more than once");
      } else if (!pools.contains(name) && after.target(name).isEmpty()) {
        report(index, "reach", "there is no target or pool '" + name + "'");
      }
    }
  }

  /**
   * Checks a target.
   *
   * @param index the position of the object
   * @param target the target
   */
  private void checkTarget(int index, Target target) {
    checkName(index, "pool", target.pool());
    checkRange(index, "slots", target.slots(), MAX_SLOTS);
    if (pools.contains(target.name()) && !target.name().equals(target.pool())) {
      report(index, "name", "is also the name of a pool, so a reach would be ambiguous");
    }
    if (after
        .target(target.pool())
        .filter(other -> !other.pool().equals(target.pool()))
        .isPresent()) {
      report(index, "pool", "is also the name of a target, so a reach would be ambiguous");
    }
    for (String other : after.targetsInPool(target.pool())) {
      if (after.target(other).filter(found -> found.type() != target.type()).isPresent()) {
        report(index, "type", "differs from target '" + other + "' of the same pool");
        return;
      }
    }
  }

  /**
   * Checks an API key.
   *
   * @param index the position of the object
   * @param key the key
   */
  private void checkKey(int index, ApiKey key) {
    checkOrganisation(index, "organisation", key.organisation());
    if (key.sha256() == null || !SHA_256.matcher(key.sha256()).matches()) {
      report(index, "sha256", "must be the SHA-256 hash of the secret, 64 lower-case hex digits");
      return;
    }
    for (VersionedObject state : after.all()) {
      if (state.object() instanceof ApiKey other
          && !other.name().equals(key.name())
          && key.sha256().equals(other.sha256())) {
        report(index, "sha256", "is also the hash of key '" + other.name() + "'");
      }
    }
  }

  /**
   * Checks that an organisation exists.
   *
   * @param index the position of the object
   * @param field the field with its name
   * @param name the name
   */
  private void checkOrganisation(int index, String field, String name) {
    if (name == null || after.object(Kind.ORGANISATION, name).isEmpty()) {
      report(index, field, "there is no organisation '" + name + "'");
    }
  }

  /**
   * Checks a name.
   *
   * @param index the position of the object
   * @param field the field
   * @param name the name
   */
  private void checkName(int index, String field, String name) {
    if (name == null || !NAME.matcher(name).matches()) {
      report(
          index,
          field,
          "must be 1 to 100 letters, digits, '.', '_', ':' or '-', not '" + name + "'");
    }
  }

  /**
   * Checks a number.
   *
   * @param index the position of the object
   * @param field the field
   * @param value the value
   * @param max the largest value allowed
   */
  private void checkRange(int index, String field, int value, int max) {
    if (value < 1 || value > max) {
      report(index, field, "must be from 1 to " + max + ", not " + value);
    }
  }

  /**
   * Reports flows whose identities are the same.
   *
   * <p>All pairs of an organisation and a pool are compared, so that a later change of reach never
   * creates a collision.
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
   * Reports a flow whose identity another one has.
   *
   * @param flows the flows checked so far
   * @param flow the flow
   */
  private void checkFlowId(Map<Integer, Flow> flows, Flow flow) {
    Flow other = flows.putIfAbsent(flow.id(), flow);
    if (other == null) {
      return;
    }
    for (int index = 0; index < ticket.objects().size(); index++) {
      if (touches(ticket.objects().get(index), flow, other)) {
        report(
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
   * Returns whether an object of the ticket defines one of two flows.
   *
   * @param object the object
   * @param flow the first flow
   * @param other the second flow
   * @return true when the object is the organisation or a target of one of them
   */
  private static boolean touches(CatalogObject object, Flow flow, Flow other) {
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
   * @param index the position of the object, or {@link TicketSource#TICKET}
   * @param field the field
   * @param message what is wrong and what is expected
   */
  private void report(int index, String field, String message) {
    findings.add(source.finding(index, field, message));
  }
}
