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

/** Formats each log record as a JSON object on one line. */
public final class JsonLines extends Formatter {

  /** Field that contains the id of the request that a record is about. */
  public static final MetadataKey<String> REQUEST_ID =
      MetadataKey.single("request_id", String.class);

  /** Field that contains the name of the organisation that a record is about. */
  public static final MetadataKey<String> ORGANISATION =
      MetadataKey.single("organisation", String.class);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Fields that are added to each record: program, instance and region. */
  private final Map<String, String> context;

  /**
   * Creates a formatter.
   *
   * @param context the fields that are added to each record
   */
  public JsonLines(Map<String, String> context) {
    this.context = Map.copyOf(context);
  }

  /**
   * Replaces all log handlers of the process by one that writes JSON lines to a stream.
   *
   * @param context the fields that are added to each record
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
      fields.put("message", removeContext(flogger.getFormattedMessage()));
    } else {
      fields.put("message", formatMessage(record));
    }
    if (record.getThrown() != null) {
      fields.put("exception", stackTrace(record.getThrown()));
    }
    try {
      return MAPPER.writeValueAsString(fields) + "\n";
    } catch (JsonProcessingException e) {
      return "{\"level\":\"SEVERE\",\"message\":\"a log record could not be encoded\"}\n";
    }
  }

  private static void addMetadata(Map<String, Object> fields, Metadata metadata) {
    for (int i = 0; i < metadata.size(); i++) {
      if (!(metadata.getValue(i) instanceof Throwable)) {
        fields.put(metadata.getKey(i).getLabel(), String.valueOf(metadata.getValue(i)));
      }
    }
  }

  /**
   * Removes the copy of the metadata that Flogger appends to a message after a space or, if the
   * message has several lines, after a line break.
   */
  private static String removeContext(String message) {
    int contextStart = message.lastIndexOf("[CONTEXT ");
    return contextStart <= 0 ? message : message.substring(0, contextStart - 1);
  }

  private static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }
}
