package org.almondslip.bench.slopes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** All measurements of the decision code and the codec, one after the other on one thread. */
public final class SlopesRun {

  /** Nanoseconds in a second. */
  private static final double NANOS_PER_SECOND = 1e9;

  /** Not instantiable. */
  private SlopesRun() {}

  /**
   * Measures and writes the plot.
   *
   * @param plot the PNG file
   * @return the series
   */
  public static ObjectNode run(Path plot) {
    Map<String, Supplier<List<Series>>> parts = new LinkedHashMap<>();
    parts.put("memory", MemorySlopes::measure);
    parts.put("requests", RequestSlopes::measure);
    parts.put("offers", OfferSlopes::measure);
    parts.put("digests", DigestSlopes::measure);
    parts.put("membership", MembershipSlopes::measure);
    parts.put("catalog", CatalogSlopes::measure);
    parts.put("reports", ReportSlopes::measure);
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("java", System.getProperty("java.version"));
    json.put("processors", Runtime.getRuntime().availableProcessors());
    json.put("plot", plot.toString());
    ObjectNode seconds = json.putObject("elapsed_seconds");
    List<Series> all = new ArrayList<>();
    parts.forEach(
        (name, part) -> {
          long start = System.nanoTime();
          all.addAll(part.get());
          seconds.put(name, Math.round((System.nanoTime() - start) / NANOS_PER_SECOND));
        });
    SlopePlot.write(all, plot);
    ArrayNode series = json.putArray("series");
    all.forEach(one -> series.add(one.toJson()));
    return json;
  }
}
