package org.almondslip.catalog;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Arrays;
import java.util.Optional;
import org.almondslip.error.AlmondslipException;
import org.almondslip.error.ErrorCode;

/** Kinds of catalog objects; each reads and writes the JSON form of its objects. */
public enum Kind {
  /** An organisation and what it may reach. */
  ORGANISATION("organisation", CatalogObject.Organisation.class),
  /** The weight of an organisation. */
  SHARE("share", CatalogObject.Share.class),
  /** A target. */
  TARGET("target", CatalogObject.Target.class),
  /** An API key. */
  KEY("key", CatalogObject.ApiKey.class);

  /** Reader and writer of the JSON form. */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .build();

  /** Name in tickets, paths and on the wire. */
  private final String label;

  /** Type of the objects. */
  private final Class<? extends CatalogObject> type;

  /**
   * Creates a kind.
   *
   * @param label the name in tickets, paths and on the wire
   * @param type the type of the objects
   */
  Kind(String label, Class<? extends CatalogObject> type) {
    this.label = label;
    this.type = type;
  }

  /**
   * Returns the name in tickets, paths and on the wire.
   *
   * @return the name
   */
  public String label() {
    return label;
  }

  /**
   * Finds a kind by its name.
   *
   * @param label the name
   * @return the kind, or empty when there is none
   */
  public static Optional<Kind> ofLabel(String label) {
    return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
  }

  /**
   * Reads an object of this kind.
   *
   * @param json the JSON form
   * @return the object
   */
  public CatalogObject parse(String json) {
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw invalid(e);
    }
  }

  /**
   * Reads an object of this kind.
   *
   * @param json the JSON form
   * @return the object
   */
  public CatalogObject parse(JsonNode json) {
    try {
      return MAPPER.treeToValue(json, type);
    } catch (JsonProcessingException e) {
      throw invalid(e);
    }
  }

  /**
   * Writes an object.
   *
   * @param object the object
   * @return the JSON form
   */
  public static String toJson(CatalogObject object) {
    try {
      return MAPPER.writeValueAsString(object);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a catalog object has no JSON form", e);
    }
  }

  /**
   * Converts a failure of the JSON library.
   *
   * @param e the failure
   * @return the exception to throw
   */
  private AlmondslipException invalid(JsonProcessingException e) {
    return new AlmondslipException(
        ErrorCode.TICKET_INVALID, "not a valid " + label + ": " + e.getOriginalMessage());
  }
}
