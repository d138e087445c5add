package fawndock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

@Command(name = "bench")
final class BenchCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return 0;
    }
}
