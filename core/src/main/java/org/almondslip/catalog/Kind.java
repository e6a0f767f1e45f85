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

/** Kind of a catalog object, which parses and serializes objects of this kind. */
public enum Kind {
  /** An organisation and the targets that it may use. */
  ORGANISATION("organisation", CatalogObject.Organisation.class),
  /** The scheduling weight of an organisation. */
  SHARE("share", CatalogObject.Share.class),
  /** A back end that runs requests. */
  TARGET("target", CatalogObject.Target.class),
  /** An API key. */
  KEY("key", CatalogObject.ApiKey.class);

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .build();

  /** Name in tickets, URL paths and the protocol. */
  private final String label;

  /** Class of the objects of this kind. */
  private final Class<? extends CatalogObject> type;

  /**
   * Creates a kind.
   *
   * @param label the name in tickets, URL paths and the protocol
   * @param type the class of the objects
   */
  Kind(String label, Class<? extends CatalogObject> type) {
    this.label = label;
    this.type = type;
  }

  /**
   * Returns the name of this kind in tickets, URL paths and the protocol.
   *
   * @return the name
   */
  public String label() {
    return label;
  }

  /**
   * Returns the kind with a label.
   *
   * @param label the label
   * @return the kind, or empty if the label is unknown
   */
  public static Optional<Kind> ofLabel(String label) {
    return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
  }

  /**
   * Parses an object of this kind. Unknown properties are rejected.
   *
   * @param json the JSON document
   * @return the object
   * @throws AlmondslipException with {@link ErrorCode#TICKET_INVALID} if the JSON is invalid
   */
  public CatalogObject parse(String json) {
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw invalid(e);
    }
  }

  /**
   * Parses an object of this kind. Unknown properties are rejected.
   *
   * @param json the JSON document
   * @return the object
   * @throws AlmondslipException with {@link ErrorCode#TICKET_INVALID} if the JSON is invalid
   */
  public CatalogObject parse(JsonNode json) {
    try {
      return MAPPER.treeToValue(json, type);
    } catch (JsonProcessingException e) {
      throw invalid(e);
    }
  }

  /**
   * Serializes an object.
   *
   * @param object the object
   * @return the JSON document
   */
  public static String toJson(CatalogObject object) {
    try {
      return MAPPER.writeValueAsString(object);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a catalog object cannot be serialized to JSON", e);
    }
  }

  /**
   * Converts a parse error.
   *
   * @param e the parse error
   * @return the exception to throw
   */
  private AlmondslipException invalid(JsonProcessingException e) {
    return new AlmondslipException(
        ErrorCode.TICKET_INVALID, "not a valid " + label + ": " + e.getOriginalMessage());
  }
}
