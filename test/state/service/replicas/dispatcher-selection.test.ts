/** Dispatcher selection: every node finds the same dispatchers, and few change when nodes come and go. */
import { expect } from 'chai';
import { Random } from '../../../../src/common/random.js';
import {
  dispatcherCount,
  type FleetMember,
  rankDispatchers,
} from '../../../../src/state/service/replicas/dispatcher-selection.js';

const SERVICES = Array.from({ length: 200 }, (_, index) => `service-${index}`);

function fleet(count: number, capacity: (index: number) => number = () => 1): FleetMember[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `node-${index}`,
    peerAddress: `10.0.0.1:${index}`,
    zone: `zone-${index % 4}`,
    capacity: capacity(index),
  }));
}

const firstOf = (service: string, members: readonly FleetMember[]) =>
  rankDispatchers(service, members)[0]?.name;

describe('dispatchers of services', () => {
  it('are the same in whatever order the nodes are known', () => {
    const members = fleet(89);
    const random = new Random(7);
    const shuffled = members.map((member) => ({ member, at: random.integer(1_000) }));
    shuffled.sort((one, other) => one.at - other.at);
    for (const service of SERVICES)
      expect(
        firstOf(
          service,
          shuffled.map(({ member }) => member),
        ),
      ).to.equal(firstOf(service, members));
  });

  it('stay when another node leaves, and are followed by the next in rank order otherwise', () => {
    const members = fleet(89);
    for (const service of SERVICES) {
      const [first, second] = rankDispatchers(service, members) as [FleetMember, FleetMember];
      expect(
        firstOf(
          service,
          members.filter(({ name }) => name !== first.name),
        ),
      ).to.equal(second.name);
      expect(
        firstOf(
          service,
          members.filter(({ name }) => name !== second.name),
        ),
      ).to.equal(first.name);
    }
  });

  it('are nodes with at least half of the processor share of the strongest one', () => {
    const members = fleet(80, (index) => (index % 4 === 0 ? 1.35 : 0.243));
    for (const service of SERVICES) expect(rankDispatchers(service, members)[0]?.capacity).to.equal(1.35);
  });

  it('are spread over the nodes when there are many services', () => {
    const members = fleet(20);
    const used = new Set(SERVICES.map((service) => firstOf(service, members)));
    expect(used.size).to.be.greaterThan(15);
  });

  it('are more the more replicas there are', () => {
    expect([0, 1, 32, 33, 3_000].map(dispatcherCount)).to.deep.equal([1, 1, 1, 2, 94]);
  });
});
