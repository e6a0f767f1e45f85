package org.almondslip.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.MetadataKey;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats log records as JSON, one object a line. */
public final class JsonLines extends Formatter {

  /** Field for the request that a record is about. */
  public static final MetadataKey<String> REQUEST_ID =
      MetadataKey.single("request_id", String.class);

  /** Field for the organisation that a record is about. */
  public static final MetadataKey<String> ORGANISATION =
      MetadataKey.single("organisation", String.class);

  /** Writer of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Fields of every record: the program, its instance and region. */
  private final Map<String, String> context;

  /**
   * Creates a formatter.
   *
   * @param context the fields of every record
   */
  public JsonLines(Map<String, String> context) {
    this.context = Map.copyOf(context);
  }

  /**
   * Sends all log records of the process to a stream as JSON lines.
   *
   * @param context the fields of every record
   * @param out the stream
   */
  public static void install(Map<String, String> context, OutputStream out) {
    LogManager.getLogManager().reset();
    BoundedHandler handler = new BoundedHandler(out, new JsonLines(context));
    Logger root = Logger.getLogger("");
    root.setLevel(Level.INFO);
    root.addHandler(handler);
  }

  @Override
  public String format(LogRecord record) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("time", Instant.ofEpochMilli(record.getMillis()).toString());
    fields.put("level", record.getLevel().getName());
    fields.put("logger", String.valueOf(record.getLoggerName()));
    fields.putAll(context);
    if (record instanceof AbstractLogRecord flogger) {
      addMetadata(fields, flogger.getLogData().getMetadata());
      fields.put("message", withoutContext(flogger.getFormattedMessage()));
    } else {
      fields.put("message", formatMessage(record));
    }
    if (record.getThrown() != null) {
      fields.put("exception", stackTrace(record.getThrown()));
    }
    try {
      return MAPPER.writeValueAsString(fields) + "\n";
    } catch (JsonProcessingException e) {
      return "{\"level\":\"SEVERE\",\"message\":\"a log record could not be written\"}\n";
    }
  }

  /**
   * Adds the fields that the caller attached to a record.
   *
   * @param fields the fields of the line
   * @param metadata the fields of the record
   */
  private static void addMetadata(Map<String, Object> fields, Metadata metadata) {
    for (int i = 0; i < metadata.size(); i++) {
      if (!(metadata.getValue(i) instanceof Throwable)) {
        fields.put(metadata.getKey(i).getLabel(), String.valueOf(metadata.getValue(i)));
      }
    }
  }

  /**
   * Removes the copy of the metadata that the library appends after a space or, when the message
   * has several lines, after a line break.
   *
   * @param message the message
   * @return the message alone
   */
  private static String withoutContext(String message) {
    int context = message.lastIndexOf("[CONTEXT ");
    return context <= 0 ? message : message.substring(0, context - 1);
  }

  /**
   * Writes a stack trace as text.
   *
   * @param thrown the exception
   * @return the text
   */
  private static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }
}
