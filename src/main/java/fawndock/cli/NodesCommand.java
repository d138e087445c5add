package fawndock.cli;

import fawndock.counter.replication.MembershipList;
import fawndock.scenario.CounterClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code fawndock counter nodes HOST:PORT [NAME=HOST:PORT ...]}: prints or replaces the membership
 * list of the counter nodes.
 */
@Command(
    name = "nodes",
    mixinStandardHelpOptions = true,
    description =
        "Prints the membership list of a node, or sets a new one, which all other nodes and the gateways "
            + "adopt; waits until all nodes on the new list are ready.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {"0:done", "1:node not reachable, list refused, or not all nodes ready in time"})
final class NodesCommand implements Callable<Integer> {
  private static final long POLL_INTERVAL_MILLIS = 50;

  @Parameters(index = "0", paramLabel = "HOST:PORT", description = "address of a ready node")
  private String address;

  @Parameters(
      index = "1..*",
      arity = "0..*",
      paramLabel = "NAME=HOST:PORT",
      description = "every node of the new membership list")
  private List<String> nodes = List.of();

  @Option(
      names = "--seconds",
      defaultValue = "60",
      description = "maximum wait in seconds, default ${DEFAULT-VALUE}")
  private int seconds;

  @Override
  public Integer call() throws InterruptedException {
    MembershipList list;
    try (CounterClient client = new CounterClient(address)) {
      String current = requireText(client.call("FD.NODES"));
      if (nodes.isEmpty()) {
        System.out.println(current.isEmpty() ? "the list in the settings" : current);
        return 0;
      }
      String status = String.valueOf(((List<?>) client.call("FD.STATUS")).get(0));
      if (!status.endsWith(" ready")) {
        throw new IOException("status is '" + status + "', expected a ready node");
      }
      String epoch = status.replaceFirst(".* epoch ([0-9]+) .*", "$1");
      list = MembershipList.parse((Long.parseLong(epoch) + 1) + " " + String.join(" ", nodes));
      List<String> command = new ArrayList<>(List.of("FD.NODES"));
      command.addAll(List.of(list.toString().split(" ", 0)));
      String adopted = requireText(client.call(command.toArray(String[]::new)));
      if (!adopted.equals(list.toString())) {
        throw new IOException(
            "membership list is '" + adopted + "', set concurrently by another client");
      }
    } catch (IOException | IllegalArgumentException e) {
      System.err.println(address + ": " + e.getMessage());
      return 1;
    }
    return awaitReady(list);
  }

  private static String requireText(Object reply) throws IOException {
    if (reply instanceof CounterClient.ErrorReply error) {
      throw new IOException(error.text());
    }
    return String.valueOf(reply);
  }

  private int awaitReady(MembershipList list) throws InterruptedException {
    Map<String, String> states = new TreeMap<>();
    long deadlineNanos = System.nanoTime() + seconds * 1_000_000_000L;
    boolean areAllReady = false;
    while (!areAllReady && System.nanoTime() - deadlineNanos < 0) {
      areAllReady = true;
      for (Map.Entry<String, String> node : list.addresses().entrySet()) {
        String state = queryState(node.getValue());
        if (!state.equals(states.put(node.getKey(), state))) {
          System.out.println(node.getKey() + " " + node.getValue() + ": " + state);
        }
        areAllReady &= state.endsWith("epoch " + list.epoch() + " ready");
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    System.out.println(
        areAllReady
            ? "all nodes go by " + list
            : "not all nodes are ready within " + seconds + " s");
    return areAllReady ? 0 : 1;
  }

  private static String queryState(String address) {
    try (CounterClient client = new CounterClient(address)) {
      return client.call("FD.STATUS") instanceof List<?> lines
          ? String.valueOf(lines.get(0))
          : "refused";
    } catch (IOException e) {
      return String.valueOf(e.getMessage());
    }
  }
}
