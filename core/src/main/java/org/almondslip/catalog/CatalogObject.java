package org.almondslip.catalog;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/** State of one object of the catalog, as a ticket gives it. */
public sealed interface CatalogObject {

  /**
   * Returns the kind of the object.
   *
   * @return the kind
   */
  @JsonIgnore
  Kind kind();

  /**
   * Returns the name of the object, which is unique within its kind.
   *
   * @return the name
   */
  String name();

  /**
   * Returns the key of the object in maps and in the table service.
   *
   * @return the key
   */
  @JsonIgnore
  default String key() {
    return kind().label() + "/" + name();
  }

  /**
   * An organisation.
   *
   * @param name the name
   * @param reach the names of the targets and pools that it may use
   */
  record Organisation(String name, List<String> reach) implements CatalogObject {

    /**
     * Copies the list.
     *
     * @param name the name
     * @param reach the names of the targets and pools that it may use
     */
    public Organisation {
      reach = reach == null ? List.of() : List.copyOf(reach);
    }

    @Override
    public Kind kind() {
      return Kind.ORGANISATION;
    }
  }

  /**
   * The share of an organisation.
   *
   * @param name the name of the organisation
   * @param weight the weight, at least 1
   */
  record Share(String name, int weight) implements CatalogObject {

    @Override
    public Kind kind() {
      return Kind.SHARE;
    }
  }

  /**
   * A target.
   *
   * @param name the name
   * @param pool the pool that it serves
   * @param type whether it is a model engine or a plain service
   * @param slots the requests that it may run at the same time
   * @param fencing whether it refuses control commands with an old fencing token
   * @param state whether it takes new work
   * @param notIdempotent methods that are not idempotent here although HTTP defines them so
   */
  record Target(
      String name,
      String pool,
      Type type,
      int slots,
      Fencing fencing,
      State state,
      List<String> notIdempotent)
      implements CatalogObject {

    /**
     * Fills in defaults for fields that a ticket leaves out.
     *
     * @param name the name
     * @param pool the pool that it serves
     * @param type whether it is a model engine or a plain service
     * @param slots the requests that it may run at the same time
     * @param fencing whether it refuses control commands with an old fencing token
     * @param state whether it takes new work
     * @param notIdempotent methods that are not idempotent here although HTTP defines them so
     */
    public Target {
      type = type == null ? Type.MODEL : type;
      fencing = fencing == null ? Fencing.IGNORED : fencing;
      state = state == null ? State.ACTIVE : state;
      notIdempotent = notIdempotent == null ? List.of() : List.copyOf(notIdempotent);
    }

    @Override
    public Kind kind() {
      return Kind.TARGET;
    }

    /** What a target is. */
    public enum Type {
      /** A model engine that streams. */
      MODEL,
      /** A plain HTTP service. */
      SERVICE
    }

    /** What a target does with a control command that carries an old fencing token. */
    public enum Fencing {
      /** It refuses the command. */
      CHECKED,
      /** It runs the command all the same. */
      IGNORED
    }

    /** Whether a target takes new work. */
    public enum State {
      /** It takes new work. */
      ACTIVE,
      /** It finishes what it has. */
      LEAVING
    }
  }

  /**
   * An API key.
   *
   * @param name the public identity of the key
   * @param organisation the organisation that it authenticates
   * @param sha256 the SHA-256 hash of the secret, in lower-case hex
   * @param revoked whether it is no longer valid
   */
  record ApiKey(String name, String organisation, String sha256, boolean revoked)
      implements CatalogObject {

    @Override
    public Kind kind() {
      return Kind.KEY;
    }
  }
}
