package store

import "testing"

// Nodes of other builds send topics by number.
func TestTopicsKeepTheirNumbers(t *testing.T) {
	numbers := map[Topic]int{
		TopicOperator: 0, TopicServers: 1, TopicJobs: 2, TopicJobIndex: 3, TopicProgress: 4, TopicLeases: 5, TopicServerRelay: 6,
		TopicUsage: 7, TopicQuarantine: 8, TopicServerList: 9,
	}
	for topic, number := range numbers {
		if int(topic) != number {
			t.Errorf("%s has number %d, not %d", topic, topic, number)
		}
	}
}

// A topic of a later build has no name here.
func TestATopicThatIsNotKnown(t *testing.T) {
	if got := Topic(99).String(); got != "topic 99" {
		t.Errorf("%q", got)
	}
}
