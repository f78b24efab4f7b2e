package org.clementinequay.server.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.config.AccessPolicy;
import org.clementinequay.core.config.Cascade;
import org.clementinequay.core.config.VersionShare;

/** Chooses the versions that run a chat completion, and their order. */
public final class PlanFilter implements Filter {
  private final ConfigurationSource configuration;
  private final RandomGenerator random;
  private final CascadeLearning learning;

  /** Creates a filter; {@code random} selects the versions of new sessions by their shares. */
  public PlanFilter(
      ConfigurationSource configuration, RandomGenerator random, CascadeLearning learning) {
    this.configuration = configuration;
    this.random = random;
    this.learning = learning;
  }

  @Override
  public void apply(Exchange exchange, Next next) throws RequestFailedException {
    if (exchange.request().kind() == CallerRequest.Kind.CHAT) {
      exchange.plan = plan(exchange);
    }
    next.proceed();
  }

  private List<PlanStep> plan(Exchange exchange) throws RequestFailedException {
    if (exchange.session.isPresent()) {
      return List.of(new PlanStep(exchange.session.get().version(), false, 0));
    }
    ActiveConfiguration active = configuration.current().orElseThrow();
    String target = exchange.request().target();
    Optional<Cascade> cascade =
        active.document().cascade(target).filter(c -> exchange.account.cascades().contains(target));
    List<String> models =
        cascade
            .map(c -> active.access().cascadeModels(exchange.account, c))
            .orElse(List.of(target));
    List<ModelVersion> versions = new ArrayList<>();
    for (String model : models) {
      drawVersion(active.access(), exchange, model).ifPresent(versions::add);
    }
    if (versions.isEmpty()) {
      throw RequestFailedException.notRun(
          RefusalReason.NO_LIVE_VERSION, "no version of " + target + " accepts new requests");
    }
    double acceptScore = cascade.map(Cascade::acceptScore).orElse(0.0);
    if (versions.size() > 1) {
      versions = learning.plan(exchange, active, versions).steps();
    }
    List<PlanStep> steps = new ArrayList<>();
    for (int i = 0; i < versions.size(); i++) {
      steps.add(new PlanStep(versions.get(i), i + 1 < versions.size(), acceptScore));
    }
    return steps;
  }

  private Optional<ModelVersion> drawVersion(AccessPolicy access, Exchange exchange, String model) {
    List<VersionShare> shares =
        access.versionsForNewSession(exchange.account, model, configuration::usable);
    double point;
    synchronized (random) {
      point = random.nextDouble();
    }
    for (VersionShare share : shares) {
      point -= share.share();
      if (point < 0) {
        return Optional.of(share.version());
      }
    }
    return shares.isEmpty() ? Optional.empty() : Optional.of(shares.get(0).version());
  }
}
