package org.almondslip.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Sends calls to the operators' interface of a router. */
final class AdminClient {

  /** Limit for connecting. */
  private static final Duration CONNECT_LIMIT = Duration.ofSeconds(5);

  /** Limit of a call; the router itself gives up on a ticket after about 5 s. */
  private static final Duration CALL_LIMIT = Duration.ofSeconds(30);

  /** Lowest status of an error. */
  private static final int ERROR = 400;

  /** Reader of JSON. */
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Client. */
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_LIMIT)
          .build();

  /** Address of the router as {@code ip:port}. */
  private final String address;

  /** Key of the operators. */
  private final String key;

  /**
   * Creates a client.
   *
   * @param address the address of the router as {@code ip:port}
   * @param key the key of the operators
   */
  AdminClient(String address, String key) {
    this.address = address;
    this.key = key;
  }

  /**
   * Answer of the router.
   *
   * @param failed whether it is a problem document
   * @param document the document
   */
  record Answer(boolean failed, JsonNode document) {}

  /**
   * Sends a call and waits for its answer.
   *
   * @param call the call
   * @return the answer
   */
  Answer send(AdminCall call) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + "/admin/v1/" + call.path()))
              .timeout(CALL_LIMIT)
              .header("Authorization", "Bearer " + key)
              .method(call.method(), BodyPublishers.ofString(call.body()))
              .build();
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      return new Answer(response.statusCode() >= ERROR, MAPPER.readTree(response.body()));
    } catch (IllegalArgumentException e) {
      throw new CliException(ExitCode.USAGE, "not a valid address or key: " + address);
    } catch (ConnectException | HttpConnectTimeoutException e) {
      throw new CliException(ExitCode.UNAVAILABLE, "no connection to " + address);
    } catch (JsonProcessingException e) {
      throw new CliException(ExitCode.FAILED, address + " is not an operators' interface");
    } catch (IOException e) {
      throw lost(call);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw lost(call);
    }
  }

  /**
   * Creates the exception for a call whose answer was lost.
   *
   * @param call the call
   * @return the exception
   */
  private CliException lost(AdminCall call) {
    boolean changes = call.path().startsWith("tickets?");
    return new CliException(
        changes ? ExitCode.OUTCOME_UNKNOWN : ExitCode.UNAVAILABLE, "no answer from " + address);
  }
}
