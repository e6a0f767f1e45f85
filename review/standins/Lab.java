package org.almondslip.adapter;

import io.vertx.core.Vertx;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on the loopback interface: the project's stand-in of the store, workers with
 * scripted answers, and router processes that are started with the command of the deploy file.
 */
final class Lab implements AutoCloseable {

  /** API key of the only tenant. */
  static final String KEY = "key-one";

  private static final long START_TIMEOUT_MILLIS = 40_000;

  private static final int MIN_PORT = 18_000;

  private static final int MAX_PORT = 30_000;

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)\\}\\}");

  /** Ports that were given to routers. */
  private static final Set<Integer> usedPorts = new HashSet<>();

  final Vertx vertx = Vertx.vertx();

  final FakeStore store = new FakeStore(vertx);

  /** Whether the disruption of the case takes place. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  private final Path folder;

  private final PrintWriter record;

  private final long startedAt = System.nanoTime();

  private final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();

  /**
   * Starts an empty deployment.
   *
   * @param recordFile the file that receives what was sent, answered and run
   */
  Lab(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("almondslip-review");
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    log("the disruption is %s", trouble ? "on" : "off");
  }

  /** Case of a review: returns whether the rule held. */
  interface Case {
    boolean run(Lab lab) throws Exception;
  }

  /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if it could not run. */
  static void main(String[] args, Case body) {
    int status = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      boolean held = body.run(lab);
      lab.log("the rule %s", held ? "held" : "was broken");
      status = held ? 0 : 1;
    } catch (Exception | AssertionError e) {
      e.printStackTrace();
    }
    System.out.println("exit status " + status);
    System.exit(status);
  }

  /** Writes a line with the time since the start in milliseconds. */
  synchronized void log(String format, Object... values) {
    record.printf(Locale.ROOT, "%7d ", millis());
    record.println(String.format(Locale.ROOT, format, values));
    record.flush();
  }

  /** Returns the time since the start in milliseconds. */
  long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void await(String what, long limitMillis, BooleanSupplier condition) {
    long end = System.nanoTime() + limitMillis * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("not reached: " + what);
      }
      sleep(20);
    }
  }

  /** Writes a manifest whose routes, services and tenants are given as JSON. */
  void manifest(int version, String routes, String services, String tenants) {
    store.put(
        "op",
        "config",
        ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"tenants\":[%s],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}")
            .formatted(version, routes, services, tenants));
    log("the operator wrote manifest %d", version);
  }

  /** Returns a route of the host {@code shop.example} as JSON. */
  static String route(
      String name, String service, String type, int attempts, int timeoutMillis, String more) {
    return ("{\"name\":\"%s\",\"host\":\"shop.example\",\"prefix\":\"/%s/\",\"service\":\"%s\","
            + "\"type\":\"%s\",\"max_attempts\":%d,\"timeout_ms\":%d,\"target_latency_ms\":600%s}")
        .formatted(name, name, service, type, attempts, timeoutMillis, more);
  }

  static String tenant(String name, String keys) {
    return "{\"name\":\"%s\",\"api_keys\":[%s]}".formatted(name, keys);
  }

  /** Starts a router and waits until it is ready. */
  Router router(String name) throws Exception {
    return router(name, store.address());
  }

  Router router(String name, String storeAddress) throws Exception {
    Router router = new Router(name, storeAddress);
    resources.add(router);
    router.start();
    await(name + " is ready", START_TIMEOUT_MILLIS, router::isReady);
    return router;
  }

  /** Starts a worker and registers it in the store. */
  Worker worker(String id, String service, int slots, Handler handler) throws IOException {
    Worker worker = new Worker(id, service, slots, handler);
    resources.add(worker);
    worker.register("ready");
    return worker;
  }

  @Override
  public synchronized void close() {
    for (AutoCloseable resource : resources) {
      try {
        resource.close();
      } catch (Exception e) {
        e.printStackTrace();
      }
    }
    resources.clear();
    if (folder.toFile().exists()) {
      for (File file : folder.toFile().listFiles()) {
        file.delete();
      }
      folder.toFile().delete();
    }
  }

  /** Router process, started with the command of the deploy file. */
  final class Router implements AutoCloseable {
    final String name;
    final int port = freePort();
    private final int readyPort = freePort();
    private final Path settings;
    private final List<String> command = new ArrayList<>();
    final Path output;
    private Process process;

    Router(String name, String storeAddress) throws IOException {
      this.name = name;
      this.settings = folder.resolve(name + ".yaml");
      this.output =
          System.getenv("KEEP_LOGS") == null
              ? folder.resolve(name + ".log")
              : Path.of(System.getenv("KEEP_LOGS"), name + ".log");
      Map<String, String> values = new LinkedHashMap<>();
      values.put("node_name", name);
      values.put("region", "asturias");
      values.put("zone", "oviedo-a");
      values.put("ip", "127.0.0.1");
      values.put("listen.frontend", "127.0.0.1:" + port);
      values.put("listen.ready_address", "127.0.0.1:" + readyPort);
      values.put("port_range.0", Integer.toString(freePort()));
      values.put("port_range.1", Integer.toString(freePort()));
      values.put("provider.address", storeAddress);
      values.put("bounds.budget_window_s", "10");
      values.put("bounds.budget_ratio", "0.2");
      values.put("bounds.budget_extra", "56");
      values.put("bounds.revoke_ms", "5000");
      values.put("bounds.grace_s", "8");
      values.put("limits.max_fds", "4100");
      Matcher matcher = PLACEHOLDER.matcher(Files.readString(Path.of("deploy/router.yaml")));
      Files.writeString(
          settings, matcher.replaceAll(m -> Matcher.quoteReplacement(values.get(m.group(1)))));
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = \"")) {
          String text = line.substring("run = \"".length(), line.lastIndexOf('"'));
          command.addAll(List.of(text.split(" ")));
        }
      }
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("ALMONDSLIP_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
      process = builder.start();
      log("started router %s, pid %d", name, process.pid());
    }

    void signal(String signal) throws Exception {
      log("SIG%s to router %s", signal, name);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
      return process.isAlive();
    }

    long pid() {
      return process.pid();
    }

    boolean isReady() {
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

    @Override
    public void close() throws Exception {
      if (process != null) {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
      }
    }
  }

  /** Request that a worker has received. */
  record Request(int number, String line, Map<String, String> headers, byte[] body, Socket socket) {
    String id() {
      return headers.getOrDefault("almondslip-attempt-id", "");
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    OutputStream out() throws IOException {
      return socket.getOutputStream();
    }

    void write(String text) throws IOException {
      out().write(text.getBytes(StandardCharsets.ISO_8859_1));
      out().flush();
    }

    /** Returns a head of an answer without its length. */
    String head(int status, String reason) {
      return "HTTP/1.1 "
          + status
          + " "
          + reason
          + "\r\n"
          + "Content-Type: text/plain\r\n"
          + "Almondslip-Attempt-Id: "
          + id()
          + "\r\n"
          + "Almondslip-Response-Signature: signed-"
          + id()
          + "\r\n";
    }

    /** Sends a complete answer with a length. */
    void answer(int status, String reason, String body) throws IOException {
      write(
          head(status, reason)
              + "Keep-Alive: timeout=10\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
    }

    void chunk(String data) throws IOException {
      write(Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
    }

    /** Ends the connection as the crash of a process does. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Work of a worker on a request. The connection stays open unless the handler closes it. */
  interface Handler {
    void handle(Worker worker, Request request) throws Exception;
  }

  /** Worker that reads requests and answers as scripted. Rejects those for another instance. */
  final class Worker implements AutoCloseable {
    volatile String id;
    volatile long born = System.currentTimeMillis();
    final String service;
    final int slots;
    volatile Handler handler;
    final int port;
    private volatile ServerSocket server;
    private volatile boolean closed;
    private int lifetimes = 1;
    final List<Socket> sockets = new CopyOnWriteArrayList<>();

    Worker(String id, String service, int slots, Handler handler) throws IOException {
      this.id = id;
      this.service = service;
      this.slots = slots;
      this.handler = handler;
      this.server = listen(0);
      this.port = server.getLocalPort();
    }

    private ServerSocket listen(int address) throws IOException {
      ServerSocket socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), address), 1000);
      Thread thread = new Thread(() -> accept(socket), id);
      thread.setDaemon(true);
      thread.start();
      return socket;
    }

    /** Writes the entry of this worker to the store. */
    void register(String state) {
      store.put(
          "servers",
          id,
          ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"oviedo-a\","
                  + "\"version\":\"v1\",\"batch_slots\":%d,\"state\":\"%s\","
                  + "\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":%d}")
              .formatted(service, port, slots, state, System.nanoTime() / 1_000_000, born));
      log("worker %s is %s at port %d", id, state, port);
    }

    /**
     * Ends as the process of a worker does that crashes: the port refuses connections, and all open
     * ones are reset. A new lifetime with a new id starts at the same address some time later.
     */
    synchronized void crash(long millis) {
      log("worker %s crashed", id);
      try {
        server.close();
        for (Socket socket : sockets) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      } catch (IOException e) {
        // Already closed.
      }
      sockets.clear();
      Thread back =
          new Thread(
              () -> {
                sleep(millis);
                try {
                  restart();
                } catch (IOException e) {
                  log("worker %s cannot start again: %s", id, e.getMessage());
                }
              });
      back.setDaemon(true);
      back.start();
    }

    private synchronized void restart() throws IOException {
      if (closed) {
        return;
      }
      String earlier = id;
      lifetimes++;
      id = earlier.replaceAll("~.*", "") + "~" + lifetimes;
      born = System.currentTimeMillis();
      server = listen(port);
      store.remove("servers", earlier);
      register("ready");
    }

    private void accept(ServerSocket listening) {
      while (true) {
        try {
          Socket socket = listening.accept();
          socket.setTcpNoDelay(true);
          sockets.add(socket);
          Thread thread = new Thread(() -> serve(socket));
          thread.setDaemon(true);
          thread.start();
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int number = 0; ; number++) {
          Request request = read(in, number, socket);
          if (request == null) {
            return;
          }
          String expected = request.header("Almondslip-Expect-Instance");
          if (!expected.isEmpty() && !expected.equals(id)) {
            log("worker %s rejects %s with 421", id, request.id());
            request.write(
                "HTTP/1.1 421 Misdirected Request\r\nAlmondslip-Not-Executed: 1\r\n"
                    + "Almondslip-Attempt-Id: "
                    + request.id()
                    + "\r\nContent-Length: 0\r\n\r\n");
            continue;
          }
          handler.handle(this, request);
          if (socket.isClosed()) {
            return;
          }
        }
      } catch (Exception e) {
        // The other end has closed the connection.
      } finally {
        sockets.remove(socket);
      }
    }

    @Override
    public synchronized void close() throws IOException {
      closed = true;
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Reads a request, or returns null at the end of the connection. */
  static Request read(InputStream in, int number, Socket socket) throws IOException {
    String head = readHead(in);
    if (head.isEmpty()) {
      return null;
    }
    String[] lines = head.split("\r\n");
    Map<String, String> headers = headers(lines);
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    return new Request(number, lines[0], headers, in.readNBytes(length), socket);
  }

  static Map<String, String> headers(String[] lines) {
    Map<String, String> headers = new LinkedHashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        headers.put(
            lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
            lines[i].substring(colon + 1).trim());
      }
    }
    return headers;
  }

  /** Reads a head including its empty line; empty at the end of the connection. */
  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int last = 0;
    for (int next = in.read(); next >= 0; next = in.read()) {
      bytes.write(next);
      last = last << 8 | next;
      if (last == 0x0d0a0d0a) {
        return bytes.toString(StandardCharsets.ISO_8859_1);
      }
    }
    return "";
  }

  /** Answer that a client has received. */
  record Answer(int status, Map<String, String> headers, String body, boolean complete) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** Connection of a client to a router. */
  final class Client implements AutoCloseable {
    final Socket socket;
    private final InputStream in;

    Client(int port) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), port);
      socket.setSoTimeout(30_000);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads an answer; one that ends before its end is not complete. Status 0 is no answer. */
    Answer receive() throws IOException {
      String head;
      try {
        head = readHead(in);
      } catch (IOException e) {
        head = "";
      }
      if (head.isEmpty()) {
        return new Answer(0, Map.of(), "", false);
      }
      String[] lines = head.split("\r\n");
      int status = Integer.parseInt(lines[0].split(" ")[1]);
      Map<String, String> headers = headers(lines);
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      boolean complete = false;
      try {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
          complete = readChunks(body);
        } else {
          int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
          body.write(in.readNBytes(length));
          complete = body.size() == length;
        }
      } catch (IOException e) {
        // The connection was reset.
      }
      return new Answer(status, headers, body.toString(StandardCharsets.ISO_8859_1), complete);
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
      while (true) {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
          if (next < 0) {
            return false;
          }
          line.append((char) next);
        }
        int size = Integer.parseInt(line.toString().trim(), 16);
        byte[] data = in.readNBytes(size);
        body.write(data);
        if (data.length < size || in.readNBytes(2).length < 2) {
          return false;
        }
        if (size == 0) {
          return true;
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  Client client(Router router) throws IOException {
    return new Client(router.port);
  }

  /** Returns a request with the key of the tenant. */
  static String request(String method, String path, String id, String headers, String body) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: shop.example\r\n"
        + "Almondslip-Attempt-Id: "
        + id
        + "\r\n"
        + headers
        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
        + "\r\n"
        + body;
  }

  static String key() {
    return "Authorization: Token " + KEY + "\r\n";
  }

  /**
   * Returns a free port below the range from which the operating system takes the ports of outgoing
   * connections, so that none of them takes it before its process listens.
   */
  private static synchronized int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      if (!usedPorts.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
          DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another process uses the port.
      }
    }
  }
}
