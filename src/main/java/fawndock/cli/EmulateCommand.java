package fawndock.cli;

import fawndock.Logic;
import fawndock.lab.emu.Deployment;
import fawndock.lab.emu.DeploymentFile;
import fawndock.lab.emu.Emulation;
import fawndock.settings.SettingsException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code fawndock emulate FILE}: a whole deployment in simulated time, judged by the five rules. */
@Command(name = "emulate", mixinStandardHelpOptions = true,
        description = "Runs a deployment in simulated time with the real decisions, and judges it.",
        exitCodeListHeading = "Exit codes:%n", exitCodeList = {"0:rules kept", "1:a rule was broken", "2:mistakes in the file"})
final class EmulateCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the deployment; docs/operations/emulate.md")
    private Path file;

    @Override
    public Integer call() {
        DeploymentFile.Read read;
        try {
            read = DeploymentFile.read(file);
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return 2;
        }
        Deployment d = read.deployment();
        long begun = System.nanoTime();
        Emulation emulation = new Emulation(d, Logic::new);
        read.troubles().forEach(trouble -> trouble.accept(emulation));
        Emulation.Result result = emulation.run();
        double took = (System.nanoTime() - begun) / 1e9;
        System.out.printf("simulated: %d gatekeepers, %d workers, %.0f s, %d events, in %.1f s of this machine%n",
                d.gatekeepers(), d.workers(), d.seconds(), result.events(), took);
        result.statuses().forEach((status, many) -> System.out.printf("%-12s %9d%n", status == 0 ? "client left" : "answer " + status,
                many));
        System.out.printf("counter calls %d, %.2f a try%n", result.calls(), result.calls() / (double) Math.max(1,
                result.verdict().requests()));
        System.out.printf("%-16s %9s %9s %9s%n", "demand", "asked/s", "used/s", "plan/s");
        for (Deployment.Demand each : d.demands()) {
            long used = result.used().entrySet().stream().filter(e -> e.getKey().matches("\\Q" + each.name() + "\\E-[0-9]+"))
                    .mapToLong(java.util.Map.Entry::getValue).sum();
            double plan = d.plans().stream().filter(p -> p.name().equals(each.plan())).findFirst().orElseThrow().rate();
            System.out.printf("%-16s %9.1f %9.1f %9.1f%n", each.name(), each.rate(), used / d.seconds(),
                    plan * each.customers());
        }
        result.verdict().breaches().forEach(b -> System.out.println("  " + b));
        System.out.println(result.verdict().line());
        return result.verdict().kept() ? 0 : 1;
    }
}
