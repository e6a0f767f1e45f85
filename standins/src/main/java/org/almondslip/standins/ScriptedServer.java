package org.almondslip.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Server that responds to each request with raw bytes, so that its responses may break any rule of
 * HTTP.
 */
public final class ScriptedServer implements AutoCloseable {

  private final ServerSocket socket;

  private final Function<String, Response> script;

  private final AtomicInteger requests = new AtomicInteger();

  /** What becomes of the connection after the bytes of a response. */
  public enum Ending {
    /** The connection stays open. */
    KEEP {
      @Override
      void apply(Socket connection) {}
    },
    /** The stream of the server ends, and the connection is closed. */
    CLOSE {
      @Override
      void apply(Socket connection) throws IOException {
        connection.close();
      }
    },
    /** The connection is reset once the client has had time to read the bytes. */
    RESET {
      @Override
      void apply(Socket connection) throws IOException {
        pause();
        connection.setSoLinger(true, 0);
        connection.close();
      }
    };

    private static final long PAUSE_MILLIS = 100;

    abstract void apply(Socket connection) throws IOException;

    private static void pause() {
      try {
        Thread.sleep(PAUSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /**
   * Response of the server.
   *
   * @param bytes the bytes, one for each character
   * @param ending what becomes of the connection
   */
  public record Response(String bytes, Ending ending) {}

  /**
   * Starts a server at a free port of the loopback interface.
   *
   * @param script returns the response to a request with the given head
   * @throws UncheckedIOException if no port can be bound
   */
  public ScriptedServer(Function<String, Response> script) {
    this.script = script;
    try {
      this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    start(this::accept);
  }

  /**
   * Returns the address of the server.
   *
   * @return the address as {@code ip:port}
   */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /**
   * Returns the number of requests so far.
   *
   * @return the number of requests
   */
  public int requests() {
    return requests.get();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void accept() throws IOException {
    while (!socket.isClosed()) {
      Socket connection = socket.accept();
      start(() -> serve(connection));
    }
  }

  private void serve(Socket connection) throws IOException {
    InputStream in = connection.getInputStream();
    while (!connection.isClosed()) {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          connection.close();
          return;
        }
        head.append((char) next);
      }
      in.readNBytes(contentLength(head.toString()));
      requests.incrementAndGet();
      Response response = script.apply(head.toString());
      connection.getOutputStream().write(response.bytes.getBytes(StandardCharsets.ISO_8859_1));
      connection.getOutputStream().flush();
      response.ending.apply(connection);
    }
  }

  /** Returns the Content-Length of a request in bytes, 0 when it is missing. */
  private static int contentLength(String head) {
    for (String line : head.toLowerCase(Locale.ROOT).split("\r\n")) {
      if (line.startsWith("content-length:")) {
        return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return 0;
  }

  /** Work of a thread, which ends with the first failure of its socket. */
  private interface Work {
    void run() throws IOException;
  }

  private static void start(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The client or the owner of this server has closed the socket.
              }
            },
            "scripted-server");
    thread.setDaemon(true);
    thread.start();
  }
}
