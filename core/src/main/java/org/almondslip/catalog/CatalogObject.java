package org.almondslip.catalog;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/** Object of the catalog in the state that a ticket defines. */
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
   * @return the label of the kind and the name, separated by a slash
   */
  @JsonIgnore
  default String key() {
    return kind().label() + "/" + name();
  }

  /**
   * An organisation and the targets that it may use.
   *
   * @param name the name
   * @param reach the names of the targets and pools that the organisation may use
   */
  record Organisation(String name, List<String> reach) implements CatalogObject {

    /**
     * Copies the list and replaces null by an empty list.
     *
     * @param name the name
     * @param reach the names of the targets and pools that the organisation may use
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
   * The scheduling weight of an organisation.
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
   * A back end that runs requests.
   *
   * @param name the name
   * @param pool the name of the pool that the target belongs to
   * @param type whether the target is a model engine or a plain service
   * @param slots the maximum number of concurrent requests
   * @param fencing whether the target rejects control commands with a stale fencing token
   * @param state whether the target accepts new work
   * @param notIdempotent HTTP methods that are not idempotent on this target although HTTP defines
   *     them as idempotent
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
     * Replaces null by the defaults of fields that a ticket omits.
     *
     * @param name the name
     * @param pool the name of the pool that the target belongs to
     * @param type whether the target is a model engine or a plain service
     * @param slots the maximum number of concurrent requests
     * @param fencing whether the target rejects control commands with a stale fencing token
     * @param state whether the target accepts new work
     * @param notIdempotent HTTP methods that are not idempotent on this target although HTTP
     *     defines them as idempotent
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

    /** Type of a target. */
    public enum Type {
      /** A model engine with streaming responses. */
      MODEL,
      /** A plain HTTP service. */
      SERVICE
    }

    /** Treatment of control commands with a stale fencing token. */
    public enum Fencing {
      /** The target rejects the command. */
      CHECKED,
      /** The target does not check the token and runs the command. */
      IGNORED
    }

    /** Administrative state of a target. */
    public enum State {
      /** The target accepts new work. */
      ACTIVE,
      /** The target completes its current work and accepts no new work. */
      LEAVING
    }
  }

  /**
   * An API key.
   *
   * @param name the public identifier of the key
   * @param organisation the name of the organisation that the key authenticates
   * @param sha256 the SHA-256 hash of the secret, in lower-case hex
   * @param revoked whether the key is no longer valid
   */
  record ApiKey(String name, String organisation, String sha256, boolean revoked)
      implements CatalogObject {

    @Override
    public Kind kind() {
      return Kind.KEY;
    }
  }
}
