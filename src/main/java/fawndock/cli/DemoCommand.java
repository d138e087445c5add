package fawndock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

@Command(name = "demo")
final class DemoCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return 0;
    }
}
