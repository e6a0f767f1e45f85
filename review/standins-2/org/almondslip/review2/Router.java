package org.almondslip.review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Router process, started in the root of the repository with the command of the deploy file. */
public final class Router implements AutoCloseable {

  private final Path settings;

  private final Path log;

  private final int port = freePort();

  private final int readyPort = freePort();

  private Process process;

  /** Writes the settings of a router of a small deployment, as deploy/router.yaml lays them out. */
  public Router(Path folder, String name, String store) throws IOException {
    settings = folder.resolve(name + ".yaml");
    log = folder.resolve(name + ".log");
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node_name", name),
            Map.entry("region", "region-a"),
            Map.entry("zone", "zone-a"),
            Map.entry("listen.frontend", "127.0.0.1:" + port),
            Map.entry("listen.ready_address", "127.0.0.1:" + readyPort),
            Map.entry("ip", "127.0.0.1"),
            Map.entry("port_range.0", "" + freePort()),
            Map.entry("port_range.1", "" + freePort()),
            Map.entry("provider.address", store),
            Map.entry("bounds.budget_window_s", "10"),
            Map.entry("bounds.budget_ratio", "0.2"),
            Map.entry("bounds.budget_extra", "56"),
            Map.entry("limits.max_fds", "4100"),
            Map.entry("bounds.revoke_ms", "5000"),
            Map.entry("bounds.grace_s", "8"),
            Map.entry("bounds.contact_ms", "3000"),
            Map.entry(
                "contracts",
                "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"));
    String text = Files.readString(Path.of("deploy/router.yaml"));
    text = section(text, "zones", "  \"zone-a\": \"region-a\"\n");
    text = section(text, "bounds.cold_overage", "");
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    Files.writeString(settings, text);
  }

  private static String section(String text, String name, String value) {
    Pattern pattern =
        Pattern.compile(
            "\\{\\{#" + Pattern.quote(name) + "}}.*?\\{\\{/" + Pattern.quote(name) + "}}\n?",
            Pattern.DOTALL);
    return pattern.matcher(text).replaceAll(Matcher.quoteReplacement(value));
  }

  /** Starts the process. */
  public void start() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.environment().put("ALMONDSLIP_NODE_FILE", settings.toString());
    process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  /** Starts the process and waits until it says that it is ready. */
  public void startAndWait() throws IOException, InterruptedException {
    start();
    awaitReady();
  }

  /** Waits until the process says that it is ready. */
  public void awaitReady() throws IOException, InterruptedException {
    for (int i = 0; i < 200; i++) {
      if (isReady()) {
        return;
      }
      Thread.sleep(50);
    }
    throw new IOException("the router is not ready after 10 s");
  }

  /** Returns whether the ready address answers 200. */
  public boolean isReady() {
    try {
      URI uri = URI.create("http://127.0.0.1:" + readyPort + "/v1/ready");
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal to this process, by its id. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
  }

  /** Waits for the end of the process, as long as the platform does before SIGKILL. */
  public boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the port for consumers. */
  public int port() {
    return port;
  }

  /** Returns what the process has written. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      process.onExit().join();
    }
  }

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
